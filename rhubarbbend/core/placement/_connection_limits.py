"""Learns how many connections targets accept that reset new ones because they are full.

Handles load at which a target accepts no more connections: its limit sinks while its queue is long,
and beyond it new connections are reset right after they were accepted. The target has not failed,
and the connections that it has go on. No I/O; the present time is an argument.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

# A learned limit is valid for this long after the last reset, and the target counts as lately full.
LIMIT_LIFETIME_S: Final = 3.0
# Meanwhile it is raised by one connection in this time.
RAISE_INTERVAL_S: Final = 0.25
# New connections for commands are checked for this long after the last reset: targets fill up again
# once the limits have expired, and the first command that meets a reset is lost.
CHECK_LIFETIME_S: Final = 30.0
# All new connections are checked for this long after a start. After a loss of power of all, targets
# hold places for the former instances, and what these had found out is lost. By then it is found
# out again where requests come.
START_CHECK_S: Final = 10.0
# A new connection that is checked is used once it has not been reset for this long, beyond the
# round trip that the reset takes.
CHECK_S: Final = 0.005
# A target that is short of processor time resets later. Where that was seen, here or by another
# instance, the check takes twice the time that the reset took, up to this bound. It is as long as
# the time in which a reset is taken for one by a full target.
MAX_CHECK_S: Final = 0.1
# The other instances are told again of a target that is still full after this time, whoever told
# them last: a third of the lifetime, so that two lost messages in a row do no harm.
REPEAT_INTERVAL_S: Final = 1.0


class FullTargetNotice(msgspec.Struct, frozen=True, array_like=True):
    """Reports that a target of a service reset a new connection `age` seconds ago.

    `check` is for how many seconds the sender checks new connections to the service, 0 if it is as
    usual. Older builds do not send it, and ignore it.
    """

    service: str
    target: str
    age: float = 0.0
    check: float = 0.0

    def add_age(self, seconds: float) -> FullTargetNotice:
        """Return the notice with a time added to its age."""
        return msgspec.structs.replace(self, age=self.age + seconds)


class _LongCheck(msgspec.Struct, frozen=True):
    """Until `until`, new connections to a service are checked for `seconds`."""

    seconds: float
    until: float


class _FullTarget:
    """A target that was full lately. `limit` is None if only other instances have met its limit."""

    __slots__ = ("service", "full_at", "limit", "limited_at", "told_at")

    def __init__(self, service: str) -> None:
        self.service = service
        self.full_at = -math.inf
        self.limit: int | None = None
        self.limited_at = -math.inf
        self.told_at = -math.inf


class ConnectionLimitTracker:
    """The limits on this instance's own connections to targets that were full lately.

    Invariant: a limit is learned from this instance's own connections only. News of other instances
    says that a target is full, not how many connections this one may have.
    """

    def __init__(self) -> None:
        self._targets: dict[str, _FullTarget] = {}
        self._started_at = -math.inf
        # By service, when a new connection was last reset for a reason that is not known.
        self._doubted_at: dict[str, float] = {}
        # By service, how long checks take since a reset came late, and until when.
        self._long_checks: dict[str, _LongCheck] = {}
        # Those of them that this instance has found to be needed.
        self._own_long_checks: dict[str, _LongCheck] = {}
        # In the order in which they were found, so that the same events give the same messages.
        self._unsent: dict[str, None] = {}
        # Called when there is something to tell the other instances; set by the instance.
        self.on_unsent: Callable[[], None] = lambda: None
        # Called when a target is found to be full; set by the instance.
        self.on_full: Callable[[], None] = lambda: None

    def record_start(self, now: float) -> None:
        """Record that this instance has started, so that it knows no limits."""
        self._started_at = now

    def record_reset(self, service: str, target: str, serving: int, now: float) -> None:
        """Record that a target reset a new connection while `serving` others from here go on.

        Only valid if there are such others, or if the target was full lately.
        """
        known = self._targets.setdefault(target, _FullTarget(service))
        known.full_at = known.limited_at = now
        known.limit = max(0, serving)
        if now - known.told_at >= REPEAT_INTERVAL_S:
            known.told_at = now
            self._unsent[target] = None
            self.on_unsent()
        self.on_full()

    def record_doubt(self, service: str, now: float) -> None:
        """Record that a target of a service reset a new connection for an unknown reason.

        It may be full or have ended. Commands are checked in either case, and nothing else changes.
        """
        self._doubted_at[service] = now

    def record_reset_age(self, service: str, age: float, now: float) -> None:
        """Record how old a connection was, beyond its round trip, when a target reset it."""
        if age > CHECK_S:
            check = _LongCheck(min(MAX_CHECK_S, 2.0 * age), now + CHECK_LIFETIME_S)
            _lengthen_check(self._long_checks, service, check, now)
            _lengthen_check(self._own_long_checks, service, check, now)

    def compute_check(self, service: str, now: float) -> float:
        """Return for how long a new connection that needs a check must not be reset."""
        return _find_long_check(self._long_checks, service, now) or CHECK_S

    def merge_notices(self, notices: Iterable[FullTargetNotice], now: float) -> int:
        """Record what another instance has met; return how many notices were invalid."""
        invalid_count = 0
        for notice in notices:
            # Also False if one is not a number.
            if not (notice.age >= 0.0 and notice.check >= 0.0):
                invalid_count += 1
                continue
            at = now - notice.age
            if notice.age >= CHECK_LIFETIME_S:
                continue
            known = self._targets.setdefault(notice.target, _FullTarget(notice.service))
            known.full_at = max(known.full_at, at)
            known.told_at = max(known.told_at, at)
            if notice.check > CHECK_S:
                check = _LongCheck(min(MAX_CHECK_S, notice.check), now + CHECK_LIFETIME_S)
                _lengthen_check(self._long_checks, notice.service, check, now)
            self.on_full()
        return invalid_count

    def pop_unsent(self, now: float) -> list[FullTargetNotice]:
        """Return the targets found full since the last call, for the other instances.

        Only a check that this instance has found to be needed is told: one that is passed on would
        never end.
        """
        unsent, self._unsent = self._unsent, {}
        known = [(target, self._targets[target]) for target in unsent if target in self._targets]
        return [
            FullTargetNotice(
                full.service,
                target,
                max(0.0, now - full.full_at),
                _find_long_check(self._own_long_checks, full.service, now),
            )
            for target, full in known
        ]

    def find_limit(self, target: str, now: float) -> int | None:
        """Return how many connections this instance may have to a target; None: any number."""
        known = self._targets.get(target)
        if known is None or known.limit is None:
            return None
        age = max(0.0, now - known.limited_at)
        if age >= LIMIT_LIFETIME_S:
            return None
        return known.limit + int(age / RAISE_INTERVAL_S)

    def was_full(self, target: str, now: float) -> bool:
        """Return whether a target was full lately, as this instance or another has met."""
        known = self._targets.get(target)
        return known is not None and now - known.full_at < LIMIT_LIFETIME_S

    def needs_check(self, service: str, target: str, is_idempotent: bool, now: float) -> bool:
        """Return whether a new connection has to show that it is not reset before it is used.

        A command that is lost with a connection cannot be sent again, so it needs that at all
        targets of a service once one of them was full: they are full at nearly the same time.
        Shortly after the start, any target may be full.
        """
        if now - self._started_at < START_CHECK_S:
            return True
        if is_idempotent:
            return self.was_full(target, now)
        if now - self._doubted_at.get(service, -math.inf) < CHECK_LIFETIME_S:
            return True
        return any(
            known.service == service and now - known.full_at < CHECK_LIFETIME_S
            for known in self._targets.values()
        )

    def list_full(self, now: float) -> list[str]:
        """Return the targets that were full lately."""
        return [target for target in self._targets if self.was_full(target, now)]

    def forget(self, target: str) -> None:
        """Remove a target that has been removed."""
        self._targets.pop(target, None)

    def expire(self, now: float) -> None:
        """Remove targets that were full too long ago to matter."""
        known = self._targets
        self._targets = {t: f for t, f in known.items() if now - f.full_at < CHECK_LIFETIME_S}


def _find_long_check(checks: dict[str, _LongCheck], service: str, now: float) -> float:
    """Return for how long connections are checked since a reset came late; 0 if as usual."""
    check = checks.get(service)
    return check.seconds if check is not None and now < check.until else 0.0


def _lengthen_check(
    checks: dict[str, _LongCheck], service: str, check: _LongCheck, now: float
) -> None:
    """Record a check unless a longer one is in force."""
    if check.seconds >= _find_long_check(checks, service, now):
        checks[service] = check
