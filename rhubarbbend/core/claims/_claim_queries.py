"""Questions to the holders of claims that other instances wrote."""

from __future__ import annotations

from typing import Final, Protocol

import attrs

from rhubarbbend import codes
from rhubarbbend.core import events
from rhubarbbend.core._context import Context
from rhubarbbend.core.claims._claim_rows import Outcome
from rhubarbbend.core.messages import ClaimQuery, ClaimReply
from rhubarbbend.core.requests._requests import Request

MAX_SILENT_QUERIES: Final = 2
STATE_NEVER: Final = "never"
STATE_RUNNING: Final = "running"
STATE_DONE: Final = "done"
STATE_UNKNOWN: Final = "unknown"


@attrs.define(slots=True)
class Query:
    """A claim's holder being asked on behalf of local requests."""

    key: str
    holder: str
    version: int
    generation: int
    requests: list[str]
    unanswered: int = 0


class QueryListener(Protocol):
    """Told what a claim's holder said, or that it is silent."""

    def find_request(self, request: str) -> Request | None:
        """Find a request that is still open."""
        ...

    def holder_done(self, request: str, outcome: Outcome, now: float) -> None:
        """The claim's attempt has run; this is its answer."""
        ...

    def holder_never(self, request: str, query: Query, since: float, now: float) -> None:
        """The claim's attempt was given up at a local time, and is never dispatched."""
        ...

    def holder_unknown(self, request: str, now: float) -> None:
        """What became of the claim's attempt is not known to its holder."""
        ...

    def holder_silent(self, request: str, now: float) -> None:
        """The holder does not answer."""
        ...


class ClaimQueries:
    """Open questions by the attempt they are about."""

    def __init__(self, context: Context, listener: QueryListener) -> None:
        self._context = context
        self._listener = listener
        self._queries: dict[str, Query] = {}

    def ask(self, request: Request, attempt: str, query: Query, now: float) -> None:
        """Ask about an attempt; requests about the same attempt share one question."""
        found = self._queries.setdefault(attempt, query)
        found.requests.append(request.id)
        if found is query:
            self._send(attempt, now)

    def handle_reply(self, sender: str, message: ClaimReply, now: float) -> None:
        """Take a holder's answer."""
        query = self._queries.get(message.attempt)
        if query is None or query.holder != sender or query.key != message.key:
            return
        query.unanswered = 0
        if message.state == STATE_RUNNING:
            return
        del self._queries[message.attempt]
        for request in query.requests:
            self._settle(request, query, message, now)

    def handle_lost(self, event: events.PeerLost, now: float) -> None:
        """End the questions to a peer that cannot be reached and has not answered before."""
        for attempt, query in list(self._queries.items()):
            if query.holder == event.peer and query.unanswered >= MAX_SILENT_QUERIES:
                self._end(attempt, now)

    def _settle(self, request: str, query: Query, message: ClaimReply, now: float) -> None:
        if message.state == STATE_DONE:
            outcome = Outcome(message.status, message.content_type, message.body, message.kept)
            self._listener.holder_done(request, outcome, now)
        elif message.state == STATE_NEVER:
            self._listener.holder_never(request, query, now - message.age, now)
        else:
            self._listener.holder_unknown(request, now)

    def _send(self, attempt: str, now: float) -> None:
        query = self._queries.get(attempt)
        if query is None:
            return
        if not any(self._listener.find_request(request) for request in query.requests):
            del self._queries[attempt]
            return
        if query.unanswered >= MAX_SILENT_QUERIES:
            self._end(attempt, now)
            return
        query.unanswered += 1
        self._context.count(codes.CLAIM_QUERIES)
        own = self._context.identity.instance
        self._context.send(query.holder, ClaimQuery(attempt=attempt, key=query.key, instance=own))
        again = now + self._context.options.claim_query_timeout
        self._context.set_timer(again, lambda at: self._send(attempt, at))

    def _end(self, attempt: str, now: float) -> None:
        query = self._queries.pop(attempt)
        for request in query.requests:
            self._listener.holder_silent(request, now)
