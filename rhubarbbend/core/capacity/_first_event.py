"""Estimates when the first event of a request would come from a target.

Kind of load: demand beyond the slots of targets, and targets that work at an uneven pace.
"""

from __future__ import annotations

from typing import Final

from rhubarbbend.core.capacity._service_times import ServiceTimes, UnreadTokens
from rhubarbbend.core.capacity._tracker import CapacityTracker
from rhubarbbend.core.directory import Target

# More requests than this are not held by one target; the figure is then taken as unknown.
MAX_HELD: Final = 1_000_000.0


class SentWork:
    """What was known of an attempt's target when its request was sent.

    Of the `tokens` that the target has to read until the first event, `unread` are the request's
    own. `queue` is the number of requests beyond the target's slots, by slot. A target
    in its cold start is slow for another reason, so nothing is learned if `is_cold`.
    """

    __slots__ = (
        "service",
        "route",
        "target",
        "unread",
        "tokens",
        "queue",
        "is_cold",
        "sent_at",
        "first_event_s",
        "first_event_at",
        "is_pending",
    )

    def __init__(
        self,
        service: str,
        route: str,
        target: str,
        unread: UnreadTokens,
        tokens: float,
        queue: float,
        is_cold: bool,
        sent_at: float,
    ) -> None:
        self.service = service
        self.route = route
        self.target = target
        self.unread = unread
        self.tokens = tokens
        self.queue = queue
        self.is_cold = is_cold
        self.sent_at = sent_at
        # Seconds until the first event, at the usual pace, and when it came; None before that.
        self.first_event_s: float | None = None
        self.first_event_at: float | None = None
        # Whether its unread tokens count as work that the target has yet to do.
        self.is_pending = True


class FirstEventEstimator:
    """Estimates times from this instance's own attempts and from what targets report.

    Invariant: `_pending_tokens` holds the unread tokens of attempts whose first event has not come.
    """

    def __init__(self, capacity: CapacityTracker) -> None:
        self.capacity = capacity
        self._services: dict[str, ServiceTimes] = {}
        self._pending_tokens: dict[str, float] = {}

    def find_times(self, service: str) -> ServiceTimes | None:
        """Return what is known of a service's times; None without evidence."""
        times = self._services.get(service)
        return times if times is not None and times.has_evidence else None

    def estimate(
        self,
        service: str,
        route: str,
        target: Target,
        held: float,
        unread_tokens: float,
        now: float,
    ) -> float | None:
        """Estimate the seconds until the first event of a request; None without evidence.

        `held` is the number of requests that the target holds without this one. For a route whose
        answers are no streams, it is the time until the whole answer.
        """
        times = self._services.get(service)
        if times is None or not times.has_evidence:
            return None
        seconds = self.estimate_wait(times, target, held)
        seconds += times.estimate_work(route, unread_tokens)
        return seconds * self.capacity.estimate_pace(target.id, now)

    def estimate_wait(self, times: ServiceTimes, target: Target, held: float) -> float:
        """Estimate the seconds, at the usual pace, until a target begins to read a request."""
        slots = self.get_slots(target)
        queue = self._count_beyond(held, slots) / slots
        pending = self._estimate_pending(times, target.id, held, slots)
        return queue * times.holding.value + (times.seconds_per_token or 0.0) * pending

    def get_slots(self, target: Target) -> int:
        """Return the number of slots of a target: as it reports, else as it is registered."""
        return self.capacity.get_slots(target.id) or max(1, target.slots)

    def _count_beyond(self, held: float, slots: int) -> float:
        """Return how many requests, one more included, are beyond the slots of a target."""
        return max(0.0, held + 1.0 - slots) if 0.0 <= held <= MAX_HELD else 0.0

    def _estimate_pending(self, times: ServiceTimes, target: str, held: float, slots: int) -> float:
        """Estimate the tokens that a target reads before those of one more request.

        Those of this instance's requests are known. Of the others only the number of requests is.
        """
        expected = min(held, slots) * times.pending_tokens if 0.0 <= held <= MAX_HELD else 0.0
        return max(expected, self._pending_tokens.get(target, 0.0))

    # Evidence.

    def record_sent(
        self,
        service: str,
        route: str,
        target: Target,
        held: float,
        unread: UnreadTokens,
        now: float,
    ) -> SentWork:
        """Record that a request is sent to a target that holds `held` others."""
        slots = self.get_slots(target)
        times = self._services.get(service)
        pending = 0.0
        if times is not None:
            pending = self._estimate_pending(times, target.id, held, slots)
        known = self._pending_tokens.get(target.id, 0.0)
        self._pending_tokens[target.id] = known + unread.tokens
        queue = self._count_beyond(held, slots) / slots
        return SentWork(
            service,
            route,
            target.id,
            unread,
            unread.tokens + pending,
            queue,
            target.is_cold(now),
            now,
        )

    def record_first_event(self, work: SentWork, now: float) -> None:
        """Record that the first event of a stream has come."""
        self.record_left(work)
        if work.first_event_at is not None or work.is_cold:
            return
        seconds = max(0.0, now - work.sent_at)
        work.first_event_at = now
        work.first_event_s = seconds / self.capacity.estimate_pace(work.target, now)
        times = self._get_times(work.service)
        waited = work.queue * times.holding.value
        if times.has_evidence or not work.queue:
            prefill = max(0.0, work.first_event_s - waited)
            times.record_prefill(prefill, work.unread, work.tokens)

    def record_left(self, work: SentWork) -> None:
        """Record that the target has read a request, or that its attempt ended before that."""
        if not work.is_pending:
            return
        work.is_pending = False
        left = self._pending_tokens.get(work.target, 0.0) - work.unread.tokens
        if left > 0.5:
            self._pending_tokens[work.target] = left
        else:
            self._pending_tokens.pop(work.target, None)

    def record_answered(self, work: SentWork, events: int, now: float) -> None:
        """Record that a request was answered whole, as a stream of so many events or as one."""
        self.record_left(work)
        if work.is_cold:
            return
        times = self._get_times(work.service)
        pace = self.capacity.estimate_pace(work.target, now)
        if work.first_event_at is None or work.first_event_s is None:
            # Without streams the wait for a slot is not seen apart from the work itself.
            seconds = max(0.0, now - work.sent_at) / pace / (1.0 + work.queue)
            prefill = (times.seconds_per_token or 0.0) * work.tokens
            times.record_holding(work.route, seconds, max(0.0, seconds - prefill))
            return
        generation = max(0.0, now - work.first_event_at) / pace
        step = generation / (events - 1) if events > 1 else None
        first = work.first_event_s / (1.0 + work.queue)
        if times.seconds_per_token is not None:
            known = times.seconds_per_token * work.tokens + times.get_step(work.route)
            first = min(work.first_event_s, known)
        times.record_holding(work.route, generation + first, step)

    def _get_times(self, service: str) -> ServiceTimes:
        return self._services.setdefault(service, ServiceTimes())

    def forget(self, target: str) -> None:
        """Remove what is known of a target that has been removed."""
        self._pending_tokens.pop(target, None)
