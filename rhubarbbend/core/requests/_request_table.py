"""The table of an instance's open requests, by request id and by current attempt id."""

from __future__ import annotations

from collections.abc import Callable

from rhubarbbend.core._context import Context
from rhubarbbend.core.limits import LIMITS
from rhubarbbend.core.requests._request import Request


class RequestTable:
    """The open requests of an instance, and the account limits that they count towards.

    Invariant: an attempt id finds at most one request, and only while it is the request's current
    attempt.
    """

    def __init__(self, context: Context) -> None:
        self._identity = context.identity
        self._by_id: dict[str, Request] = {}
        self._detached: dict[str, Request] = {}
        self._by_attempt: dict[str, Request] = {}
        self._limits = [LIMITS.find(name)() for name in LIMITS.list_names()]
        self._next_attempt = 0
        # Called with each request that is removed.
        self.on_removed: Callable[[Request], None] = lambda request: None

    def __len__(self) -> int:
        return len(self._by_id) + len(self._detached)

    def add(self, request: Request, now: float) -> bool:
        """Add a request; return False if its account now exceeds a limit."""
        self._by_id[request.id] = request
        # Every limit has to count the request, so the loop does not stop at an exceeded one.
        allowed = [limit.record_opened(request.account, now) for limit in self._limits]
        return all(allowed)

    def find(self, request_id: str) -> Request | None:
        """Return the request with this id if its caller still waits for it."""
        return self._by_id.get(request_id)

    def find_by_attempt(self, attempt: str) -> Request | None:
        """Return the request whose current attempt this is."""
        return self._by_attempt.get(attempt)

    def list_all(self) -> list[Request]:
        """Return all requests, including commands that run on without their caller."""
        return [*self._by_id.values(), *self._detached.values()]

    def make_attempt_id(self) -> str:
        """Make an attempt id that is unique in the fleet, also across restarts."""
        self._next_attempt += 1
        identity = self._identity
        return f"{identity.instance}-{identity.incarnation:x}-{self._next_attempt:x}"

    def set_current_attempt(self, request: Request, attempt: str) -> None:
        """Make this attempt the only current attempt of a request."""
        self._by_attempt.pop(request.attempt, None)
        request.attempt = attempt
        self._by_attempt[attempt] = request

    def clear_attempt(self, request: Request) -> None:
        """Leave a request without a current attempt; later events of the old one are ignored."""
        self._by_attempt.pop(request.attempt, None)

    def detach(self, request: Request) -> None:
        """Keep a command whose caller no longer waits until its attempt has ended.

        The request's id becomes free, because the caller may use it again at once.
        """
        self._by_id.pop(request.id, None)
        self._detached[request.claim_id] = request
        request.detached = True

    def remove(self, request: Request) -> None:
        """Remove a request that has ended."""
        self.clear_attempt(request)
        self.on_removed(request)
        if request.detached:
            found = self._detached.pop(request.claim_id, None)
        else:
            found = self._by_id.pop(request.id, None)
        if found is None:
            return
        for limit in self._limits:
            limit.record_closed(request.account)
