"""One caller's request while it is being served."""

from __future__ import annotations

import hashlib

import msgspec

from rhubarbbend.core.catalog import ClientAccount, Route, Service
from rhubarbbend.core.delivery import Progress
from rhubarbbend.core.directory import Target
from rhubarbbend.gateway._interfaces import CallerRequest, TargetAnswer
from rhubarbbend.gateway._streams import EventRelay
from rhubarbbend.http import Exchange


class KeptAnswer(msgspec.Struct, frozen=True):
    """A target's whole answer, held until it is decided whether the caller gets it."""

    head: TargetAnswer
    body: bytes


class OpenRequest:
    """A request, where it may go, and what has become of it.

    Times are the loop's. Invariant: `answer` is the head that the caller has been given or will
    be; it stays that of the first target when a stream is resumed at another.
    """

    __slots__ = (
        "caller",
        "exchange",
        "route",
        "service",
        "account",
        "arrived",
        "deadline",
        "progress",
        "excluded",
        "digest",
        "relay",
        "answer",
        "kept_answer",
        "attempt_target",
        "chosen_at",
        "sent_at",
        "shut",
        "version",
    )

    def __init__(
        self,
        caller: CallerRequest,
        exchange: Exchange,
        route: Route,
        service: Service,
        account: ClientAccount | None,
        arrived: float,
        version: int,
    ) -> None:
        self.caller = caller
        self.exchange = exchange
        self.route = route
        self.service = service
        self.account = account
        self.arrived = arrived
        limit = route.timeout if caller.time_limit is None else caller.time_limit
        self.deadline = arrived + min(limit, route.timeout)
        self.progress = Progress()
        self.excluded: set[str] = set()
        self.digest = _digest(caller)
        self.relay = EventRelay(exchange, self._start_answer, caller.resume_after)
        self.answer: TargetAnswer | None = None
        # A failure of a target's own, for the caller if no other target can do better.
        self.kept_answer: KeptAnswer | None = None
        self.attempt_target: Target | None = None
        self.chosen_at = arrived
        self.sent_at = arrived
        # Why no target could be chosen, by number of targets.
        self.shut: dict[str, int] | None = None
        self.version = version

    @property
    def id(self) -> str:
        """The id of the caller's try."""
        return self.caller.id

    @property
    def priority(self) -> int:
        """How urgent it is; 0 goes first. An account's own rank goes before its route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    def time_left(self, now: float) -> float:
        """Give the seconds left to answer in."""
        return self.deadline - now

    def _start_answer(self) -> None:
        """Give the caller the head of a stream, with its first event."""
        assert self.answer is not None
        self.progress.started = True
        self.exchange.start_raw(self.answer.status, self.answer.headers)


def _digest(caller: CallerRequest) -> str:
    """Name a request by what is the same when its caller sends it again."""
    digest = hashlib.blake2b(caller.body, digest_size=12)
    digest.update(b"\0".join((caller.method, caller.target, caller.key.encode())))
    return digest.hexdigest()
