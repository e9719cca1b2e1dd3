"""The state of one caller's request while it is being served."""

from __future__ import annotations

import hashlib

import msgspec

from rhubarbbend.core.admission import Decision
from rhubarbbend.core.capacity import SentWork
from rhubarbbend.core.catalog import ClientAccount, Route, Service
from rhubarbbend.core.crashes import BEGIN_S, Content, make_part_key
from rhubarbbend.core.delivery import Progress
from rhubarbbend.core.directory import Target
from rhubarbbend.core.rollouts import VersionChoice
from rhubarbbend.core.streams import compute_origin
from rhubarbbend.gateway._interfaces import CallerRequest, TargetResponseHead
from rhubarbbend.gateway._streams import EventRelay
from rhubarbbend.http import BodyEnd, Exchange


class BufferedAnswer(msgspec.Struct, frozen=True):
    """A target's complete answer, buffered until it is decided whether the caller gets it."""

    head: TargetResponseHead
    body: bytes


class OpenRequest:
    """One request of a caller, with its route and the state of its delivery.

    All times are the event loop's, in seconds. Invariant: `answer` is the head that the caller has
    received or will receive; when a stream is resumed at another target, it stays the head of the
    first one.
    """

    __slots__ = (
        "caller",
        "exchange",
        "route",
        "service",
        "account",
        "arrived_at",
        "deadline",
        "progress",
        "excluded",
        "digest",
        "_content",
        "relay",
        "answer",
        "fallback_answer",
        "attempt_target",
        "chosen_at",
        "sent_at",
        "connected_at",
        "rejection_counts",
        "config_version",
        "version",
        "is_detour",
        "first_event_at",
        "unread_tokens",
        "sent_work",
        "trial",
        "has_left_silent_target",
        "wait_ends_at",
        "body_end",
        "origin",
        "goes_apart",
        "admission",
        "has_reserved_retry",
    )

    def __init__(
        self,
        caller: CallerRequest,
        exchange: Exchange,
        route: Route,
        service: Service,
        account: ClientAccount | None,
        arrived_at: float,
        config_version: int,
    ) -> None:
        self.caller = caller
        self.exchange = exchange
        self.route = route
        self.service = service
        self.account = account
        self.arrived_at = arrived_at
        self.deadline = _compute_deadline(caller, route, arrived_at)
        self.progress = Progress()
        self.excluded: set[str] = set()
        self.digest = _compute_digest(caller, account)
        self._content: Content | None = None
        self.relay = EventRelay(exchange, self._send_head, caller.last_event_id)
        self.answer: TargetResponseHead | None = None
        # An error answer that a target itself sent; the caller gets it if no other target succeeds.
        self.fallback_answer: BufferedAnswer | None = None
        self.attempt_target: Target | None = None
        self.chosen_at = self.sent_at = arrived_at
        # When the connection was opened that carries the current attempt.
        self.connected_at = arrived_at
        # If no target could be chosen: the number of targets rejected, by reason.
        self.rejection_counts: dict[str, int] | None = None
        self.config_version = config_version
        # The version whose targets may get the request now.
        self.version = VersionChoice(None)
        # Whether another instance took the request from its caller.
        self.is_detour = False
        # Of the current attempt: when its first event came, and the tokens the target had to read.
        self.first_event_at: float | None = None
        self.unread_tokens = 0
        # What was known of the current attempt's target when the request was sent.
        self.sent_work: SentWork | None = None
        # The cause of losses for which no other attempt may begin until the current one has ended.
        self.trial: str | None = None
        # Whether a retry was taken from the budget for it and not used yet.
        self.has_reserved_retry = False
        # Whether it was given up at a target that was silent, and until when it waits for another
        # one; None if it did not wait yet.
        self.has_left_silent_target = False
        self.wait_ends_at: float | None = None
        # How the last answer ended with its connection; None if it ended by its framing.
        self.body_end: BodyEnd | None = None
        # The origin of the stream that the caller gets or takes up again; None before it is known.
        self.origin: int | None = None
        # Whether it is kept from the home of its prompt, to tell who there crashes targets.
        self.goes_apart = False
        # What admission control decided on it last; None if it was not asked.
        self.admission: Decision | None = None

    @property
    def id(self) -> str:
        """The request id; the caller uses a new one for each of its own retries."""
        return self.caller.id

    @property
    def priority(self) -> int:
        """The priority, 0 the highest; an account's own priority overrides that of the route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def content(self) -> Content:
        """What of the request may crash targets; made when it is first needed."""
        if self._content is None:
            prompt = self.caller.prompt
            shared = () if prompt is None else prompt.parts[:-1]
            parts = dict.fromkeys(make_part_key(self.service.name, part.id) for part in shared)
            account = "" if self.account is None else self.account.name
            self._content = Content(self.digest, tuple(parts), account)
        return self._content

    def has_gone_on(self, now: float) -> bool:
        """Return whether the target of the current attempt began its answer a while ago."""
        return self.first_event_at is not None and now - self.first_event_at > BEGIN_S

    def admits(self, target: Target) -> bool:
        """Return whether a target may get the request, by its version."""
        if not self.version.admits(target):
            return False
        return self.origin in (None, compute_origin(target.service, target.version))

    def compute_time_left(self, now: float) -> float:
        """Return how many seconds are left until the deadline."""
        return self.deadline - now

    @property
    def can_retry_elsewhere(self) -> bool:
        """Whether the request can be sent to one more target although it may have run here."""
        is_last = self.progress.targets + 1 >= self.route.max_attempts
        return self.route.idempotent and not is_last

    def compute_backstop_timeout(self, now: float) -> float:
        """Return a time-out, in seconds, that ends after the request's own deadline.

        The deadline is enforced elsewhere and ends the request first.
        """
        return max(0.0, self.compute_time_left(now)) + 1.0

    def _send_head(self) -> None:
        """Send the head of a stream to the caller, just before its first event."""
        assert self.answer is not None
        self.progress.started = True
        self.exchange.start_raw(self.answer.status, self.answer.headers)


def _compute_deadline(caller: CallerRequest, route: Route, arrived_at: float) -> float:
    timeout_s = route.timeout if caller.timeout_s is None else caller.timeout_s
    return arrived_at + min(timeout_s, route.timeout)


def _compute_digest(caller: CallerRequest, account: ClientAccount | None) -> str:
    """Return a digest of what stays the same when the caller sends the request again.

    An account may have several keys, and gets others while its callers go on.
    """
    sender = caller.api_key if account is None else account.name
    digest = hashlib.blake2b(caller.body, digest_size=12)
    digest.update(b"\0".join((caller.method, caller.path_and_query, sender.encode())))
    return digest.hexdigest()
