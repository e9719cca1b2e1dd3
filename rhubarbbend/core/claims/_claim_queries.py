"""Queries to other instances about the claims that they hold.

The holder of a claim is the instance that wrote its row. When a request finds its key claimed by
another instance, that instance is asked what became of the attempt.
"""

from __future__ import annotations

from typing import Final, Protocol

import attrs

from rhubarbbend import codes
from rhubarbbend.core import events
from rhubarbbend.core._context import Context
from rhubarbbend.core.claims._claim_rows import Outcome
from rhubarbbend.core.messages import ClaimQuery, ClaimReply
from rhubarbbend.core.requests._request import Request

MAX_UNANSWERED_QUERIES: Final = 2
STATE_NEVER_DISPATCHED: Final = "never"
STATE_RUNNING: Final = "running"
STATE_DONE: Final = "done"
STATE_UNKNOWN: Final = "unknown"


@attrs.define(slots=True)
class Query:
    """A query in flight to the holder of a claim.

    `row_version` and `generation` are those of the claim row, `request_ids` the ids of the local
    requests that wait for the reply, and `unanswered_count` counts the messages sent since the last
    reply.
    """

    key: str
    holder: str
    row_version: int
    generation: int
    request_ids: list[str]
    unanswered_count: int = 0


class QueryListener(Protocol):
    """Receives the holder's reply for each waiting request, or that the holder is unresponsive."""

    def find_request(self, request_id: str) -> Request | None:
        """Return a request that has no final answer yet, None if there is none of this id."""
        ...

    def holder_reported_done(self, request_id: str, outcome: Outcome, now: float) -> None:
        """Handle a claim whose attempt has run, with its outcome."""
        ...

    def holder_reported_never_dispatched(
        self, request_id: str, query: Query, since: float, now: float
    ) -> None:
        """Handle a claim whose attempt was abandoned undispatched at the local time `since`."""
        ...

    def holder_reported_unknown(self, request_id: str, now: float) -> None:
        """Handle a claim whose holder does not know what became of its attempt."""
        ...

    def holder_unresponsive(self, request_id: str, now: float) -> None:
        """Handle a claim whose holder does not answer."""
        ...


class ClaimQueries:
    """The queries in flight, by the id of the attempt that they ask about."""

    def __init__(self, context: Context, listener: QueryListener) -> None:
        self._context = context
        self._listener = listener
        self._queries: dict[str, Query] = {}

    def ask(self, request: Request, attempt: str, query: Query, now: float) -> None:
        """Query the holder of an attempt; requests that wait for one attempt share a query."""
        found = self._queries.setdefault(attempt, query)
        found.request_ids.append(request.id)
        if found is query:
            self._send_query(attempt, now)

    def handle_reply(self, sender: str, message: ClaimReply, now: float) -> None:
        """Handle a holder's reply; while the attempt is running, the query stays open."""
        query = self._queries.get(message.attempt)
        if query is None or query.holder != sender or query.key != message.key:
            return
        query.unanswered_count = 0
        if message.state == STATE_RUNNING:
            return
        del self._queries[message.attempt]
        for request_id in query.request_ids:
            self._notify_listener(request_id, query, message, now)

    def handle_peer_lost(self, event: events.PeerLost, now: float) -> None:
        """End the queries to a peer that is unreachable and has left too many of them unanswered.

        Queries below MAX_UNANSWERED_QUERIES stay open and are sent again.
        """
        for attempt, query in list(self._queries.items()):
            if query.holder == event.peer and query.unanswered_count >= MAX_UNANSWERED_QUERIES:
                self._report_unresponsive(attempt, now)

    def _notify_listener(
        self, request_id: str, query: Query, message: ClaimReply, now: float
    ) -> None:
        if message.state == STATE_DONE:
            outcome = Outcome(message.status, message.content_type, message.body, message.kept)
            self._listener.holder_reported_done(request_id, outcome, now)
        elif message.state == STATE_NEVER_DISPATCHED:
            self._listener.holder_reported_never_dispatched(
                request_id, query, now - message.age, now
            )
        else:
            self._listener.holder_reported_unknown(request_id, now)

    def _send_query(self, attempt: str, now: float) -> None:
        query = self._queries.get(attempt)
        if query is None:
            return
        if not any(self._listener.find_request(request_id) for request_id in query.request_ids):
            del self._queries[attempt]
            return
        if query.unanswered_count >= MAX_UNANSWERED_QUERIES:
            self._report_unresponsive(attempt, now)
            return
        query.unanswered_count += 1
        self._context.count(codes.CLAIM_QUERIES)
        own = self._context.identity.instance
        self._context.send(query.holder, ClaimQuery(attempt=attempt, key=query.key, instance=own))
        retry_at = now + self._context.options.claim_query_timeout
        self._context.set_timer(retry_at, lambda at: self._send_query(attempt, at))

    def _report_unresponsive(self, attempt: str, now: float) -> None:
        query = self._queries.pop(attempt)
        for request_id in query.request_ids:
            self._listener.holder_unresponsive(request_id, now)
