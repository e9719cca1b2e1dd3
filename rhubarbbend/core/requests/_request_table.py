"""The open requests of an instance, found by their id and by their present attempt."""

from __future__ import annotations

from rhubarbbend.core._context import Context
from rhubarbbend.core.limits import LIMITS
from rhubarbbend.core.requests._requests import Request


class RequestTable:
    """Invariant: an attempt leads to at most one request, and only while it may act for it."""

    def __init__(self, context: Context) -> None:
        self._identity = context.identity
        self._requests: dict[str, Request] = {}
        self._detached: dict[str, Request] = {}
        self._by_attempt: dict[str, Request] = {}
        self._limits = [LIMITS.find(name)() for name in LIMITS.list_names()]
        self._next_attempt = 0

    def __len__(self) -> int:
        return len(self._requests) + len(self._detached)

    def add(self, request: Request, now: float) -> bool:
        """Add a request that has just been admitted; False if its account is over a limit."""
        self._requests[request.id] = request
        # Every limit counts the request, also those after one that is exceeded.
        allowed = [limit.open(request.account, now) for limit in self._limits]
        return all(allowed)

    def find(self, request: str) -> Request | None:
        """Find a request whose caller still waits."""
        return self._requests.get(request)

    def find_attempt(self, attempt: str) -> Request | None:
        """Find the request that an attempt acts for."""
        return self._by_attempt.get(attempt)

    def list_all(self) -> list[Request]:
        """List every request, also those that run on without their caller."""
        return [*self._requests.values(), *self._detached.values()]

    def make_attempt(self) -> str:
        """Make an id that no other attempt of the fleet ever has."""
        self._next_attempt += 1
        identity = self._identity
        return f"{identity.instance}-{identity.incarnation:x}-{self._next_attempt:x}"

    def set_attempt(self, request: Request, attempt: str) -> None:
        """Let an attempt, and no other, act for a request."""
        self._by_attempt.pop(request.attempt, None)
        request.attempt = attempt
        self._by_attempt[attempt] = request

    def forget_attempt(self, request: Request) -> None:
        """Let no attempt act for a request."""
        self._by_attempt.pop(request.attempt, None)

    def detach(self, request: Request) -> None:
        """Keep a command whose caller waits no more until its attempt has ended.

        The caller may use the request's id again at once, so it is given free.
        """
        self._requests.pop(request.id, None)
        self._detached[request.claim_id] = request
        request.detached = True

    def remove(self, request: Request) -> None:
        """Remove a request that has come to its end."""
        self.forget_attempt(request)
        if request.detached:
            found = self._detached.pop(request.claim_id, None)
        else:
            found = self._requests.pop(request.id, None)
        if found is None:
            return
        for limit in self._limits:
            limit.close(request.account)
