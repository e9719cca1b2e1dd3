"""Learns from finished attempts how long the work of a service takes at the usual pace.

Kind of load: any; the figures follow a change of the load within some tens of attempts.
"""

from __future__ import annotations

from typing import Final

import msgspec

# Weight of each new sample in a mean, once there are more samples than that.
MEAN_GAIN: Final = 1.0 / 32.0
# The same for the mean over all routes of a service: routes differ by more than samples do.
SERVICE_GAIN: Final = 1.0 / 64.0
# Weight that the sums of the prefill cost keep with each new sample.
SUM_DECAY: Final = 0.97
# A sample of the prefill cost counts as at most this multiple of what is known.
MAX_DEVIATION: Final = 3.0
# Fewer attempts of a service than this are no evidence.
MIN_SAMPLES: Final = 3
# Routes whose times are kept for each service; names change with the configuration.
MAX_ROUTES: Final = 512
# Longer times than this are not those of a request.
MAX_SECONDS: Final = 3_600.0


class UnreadTokens(msgspec.Struct, frozen=True):
    """How many tokens of a prompt a target has to read, and whether that is known for certain."""

    tokens: float
    is_certain: bool = False


NO_PROMPT: Final = UnreadTokens(0.0)


class Mean:
    """A moving mean; the first samples all have the same weight."""

    __slots__ = ("value", "count", "_least_gain")

    def __init__(self, least_gain: float = MEAN_GAIN) -> None:
        self.value = 0.0
        self.count = 0
        self._least_gain = least_gain

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.count += 1
        self.value += max(1.0 / self.count, self._least_gain) * (sample - self.value)


class RouteTimes:
    """The seconds for which requests of a route hold a slot, and those of one step."""

    __slots__ = ("holding", "step")

    def __init__(self) -> None:
        self.holding = Mean()
        self.step = Mean()


class ServiceTimes:
    """The times of a service's requests, over all routes and by route.

    `holding` is the seconds for which a request holds a slot, `step` the seconds of one step, in
    the mean of all requests. `pending_tokens` is how many tokens of a request that a target holds
    have yet to be read, in the mean over the time that it is held.
    """

    __slots__ = ("holding", "step", "_routes", "_tokens", "_first", "_prefills", "_xx", "_xy")

    def __init__(self) -> None:
        self.holding = Mean(SERVICE_GAIN)
        self.step = Mean(SERVICE_GAIN)
        self._routes: dict[str, RouteTimes] = {}
        self._tokens = Mean(SERVICE_GAIN)
        self._first = Mean(SERVICE_GAIN)
        # Sums for the least-squares fit of seconds by token.
        self._prefills = 0
        self._xx = 0.0
        self._xy = 0.0

    @property
    def has_evidence(self) -> bool:
        """Whether enough attempts have ended to estimate from."""
        return self.holding.count >= MIN_SAMPLES

    @property
    def seconds_per_token(self) -> float | None:
        """The seconds that the prefill of a token takes; None without evidence."""
        return self._xy / self._xx if self._prefills >= MIN_SAMPLES else None

    @property
    def pending_tokens(self) -> float:
        """The mean number of unread tokens of a request that is held."""
        if self.holding.value <= 0.0:
            return 0.0
        return self._tokens.value * min(1.0, self._first.value / self.holding.value)

    def get_step(self, route: str) -> float:
        """Return the seconds of one step of a route; of a request without stream, of all work."""
        times = self._routes.get(route)
        return self.step.value if times is None or not times.step.count else times.step.value

    def estimate_work(self, route: str, unread_tokens: float) -> float:
        """Return the seconds until the first event of a request that a target begins to read."""
        return (self.seconds_per_token or 0.0) * unread_tokens + self.get_step(route)

    def record_prefill(self, seconds: float, unread: UnreadTokens, tokens: float) -> None:
        """Record the seconds until a first event, which are those of a step and of the prefill.

        `unread` are the tokens of the request itself, `tokens` all that were read until then.
        """
        if not 0.0 <= seconds <= MAX_SECONDS:
            return
        self._tokens.add(unread.tokens)
        self._first.add(seconds)
        if tokens <= 0.0 or not unread.is_certain:
            return
        seconds = max(0.0, seconds - self.step.value)
        known = self.seconds_per_token
        if known is not None:
            # A part that was taken to be cached and was not takes a multiple of the time.
            seconds = min(seconds, MAX_DEVIATION * known * tokens)
        self._prefills += 1
        self._xx = SUM_DECAY * self._xx + tokens * tokens
        self._xy = SUM_DECAY * self._xy + tokens * seconds

    def record_holding(self, route: str, seconds: float, step: float | None) -> None:
        """Record how long a request held a slot, and the seconds of a step if they are known."""
        if not 0.0 <= seconds <= MAX_SECONDS:
            return
        times = self._routes.get(route)
        if times is None:
            if len(self._routes) >= MAX_ROUTES:
                self._routes.clear()
            times = self._routes[route] = RouteTimes()
        self.holding.add(seconds)
        times.holding.add(seconds)
        if step is not None:
            self.step.add(step)
            times.step.add(step)
