"""Final responses to requests.

A response goes to the caller, or to the peer instance that forwarded a command because this
instance issued the command's reserved key.
"""

from __future__ import annotations

from typing import Final

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core import actions
from rhubarbbend.core._context import Context
from rhubarbbend.core.claims._claim_records import MAX_CLOCK_SKEW_S
from rhubarbbend.core.claims._claim_rows import Outcome
from rhubarbbend.core.messages import ReservedReply
from rhubarbbend.core.requests._request import Request
from rhubarbbend.core.requests._request_table import RequestTable
from rhubarbbend.core.requests._slots import SlotLeases

# Refusals for which it is known when a slot or a target may become free.
SLOT_REFUSAL_CODES: Final = (
    codes.OVERLOADED,
    codes.QUEUE_FULL,
    codes.WAIT_TOO_LONG,
    codes.NO_TARGET,
    codes.TARGETS_PAUSED,
)
PEER_REQUEST_ID_SEPARATOR: Final = "/"


def make_peer_request_id(peer: str, forward_id: str) -> str:
    """Make the id of a request that a peer forwarded.

    The ids of callers' requests never contain the separator.
    """
    return f"{peer}{PEER_REQUEST_ID_SEPARATOR}{forward_id}"


def parse_peer_request_id(request_id: str) -> tuple[str, str]:
    """Split the id of a forwarded request into the peer and the peer's own id for it."""
    peer, _, forward_id = request_id.partition(PEER_REQUEST_ID_SEPARATOR)
    return peer, forward_id


class ResponseSender:
    """Sends final responses and closes requests.

    Invariant: a request gets at most one final response, and none after its caller has left.
    """

    def __init__(self, context: Context, table: RequestTable, leases: SlotLeases) -> None:
        self._context = context
        self._table = table
        self._leases = leases

    def reject(self, request_id: str, on_behalf_of: str, code: ErrorCode, now: float) -> None:
        """Refuse an arrival that was not admitted as a request of an account.

        The verdict is "not run", because nothing can have run for it.
        """
        verdict = Verdict.NOT_RUN.value
        self._context.count(f"refused.{code.name}")
        if on_behalf_of:
            _, forward_id = parse_peer_request_id(request_id)
            wall_time = self._context.to_unix_time(now)
            reply = ReservedReply(
                request=forward_id, error=code.name, verdict=verdict, at=wall_time
            )
            self._context.send(on_behalf_of, reply)
            return
        self._context.emit(
            actions.Refuse(request_id, code.name, verdict, verdict, code.retry_after)
        )

    def refuse(self, request: Request, code: ErrorCode, verdict: Verdict, now: float) -> None:
        """Refuse a request and close it; `verdict` applies to its idempotency key."""
        self._leases.release(request, completed=False)
        if not request.detached:
            self.send_refusal(request, code, verdict, now)
        self._table.remove(request)

    def send_refusal(self, request: Request, code: ErrorCode, verdict: Verdict, now: float) -> None:
        """Send a refusal and leave the request open."""
        self._context.count(f"refused.{code.name}")
        peer = request.arrival.on_behalf_of
        if peer:
            _, forward_id = parse_peer_request_id(request.id)
            wall_time = self._context.to_unix_time(now)
            reply = ReservedReply(
                request=forward_id, error=code.name, verdict=verdict.value, at=wall_time
            )
            self._context.send(peer, reply)
            return
        retry_after = code.retry_after
        if code in SLOT_REFUSAL_CODES:
            retry_after = max(retry_after, request.owner_retry_after)
        if not request.idempotent and verdict is Verdict.NOT_RUN and retry_after:
            # The key stays refused for this long, see ClaimCoordinator._resolve_refused_row.
            refusal_hold = self._context.options.claim_timeout + MAX_CLOCK_SKEW_S
            retry_after = max(retry_after, refusal_hold)
        self._context.emit(
            actions.Refuse(
                request.id, code.name, verdict.value, request.compute_verdict().value, retry_after
            )
        )

    def reply(self, request: Request, outcome: Outcome, replayed: bool, now: float) -> None:
        """Send a complete outcome and close the request."""
        self._leases.release(request, completed=False)
        if not request.detached:
            self._send_outcome(request, outcome, replayed)
        self._table.remove(request)

    def abort(self, request: Request, code: ErrorCode) -> None:
        """Break off a response that has begun, so that the caller sees that it is incomplete."""
        self._context.count(codes.ANSWERS_CUT)
        self._context.emit(actions.CutAnswer(request.id, code.name))
        self._leases.release(request, completed=False)
        self._table.remove(request)

    def _send_outcome(self, request: Request, outcome: Outcome, replayed: bool) -> None:
        peer = request.arrival.on_behalf_of
        if peer:
            _, forward_id = parse_peer_request_id(request.id)
            reply = ReservedReply(
                request=forward_id,
                status=outcome.status,
                content_type=outcome.content_type,
                body=outcome.body,
                replayed=replayed,
                verdict=Verdict.RAN.value,
            )
            self._context.send(peer, reply)
            return
        self._context.emit(
            actions.Reply(request.id, outcome.status, outcome.content_type, outcome.body, replayed)
        )
