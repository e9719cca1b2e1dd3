"""Final answers: to a caller, or to the instance that asked for a run under a reserved key."""

from __future__ import annotations

from typing import Final

from rhubarbbend import codes
from rhubarbbend.codes import ErrorCode, Verdict
from rhubarbbend.core import actions
from rhubarbbend.core._context import Context
from rhubarbbend.core.claims._claim_records import CLOCK_SKEW
from rhubarbbend.core.claims._claim_rows import Outcome
from rhubarbbend.core.messages import ReservedReply
from rhubarbbend.core.requests._request_table import RequestTable
from rhubarbbend.core.requests._requests import Request
from rhubarbbend.core.requests._slots import HeldSlots

# Refusals of slots, for which the owner has told when one may be had.
SLOT_REFUSALS: Final = (codes.OVERLOADED, codes.QUEUE_FULL, codes.WAIT_TOO_LONG, codes.NO_TARGET)
PEER_SEPARATOR: Final = "/"


def make_peer_request(peer: str, forward: str) -> str:
    """Make the id of a request that a peer forwarded; callers' ids never hold the separator."""
    return f"{peer}{PEER_SEPARATOR}{forward}"


def read_peer_request(request: str) -> tuple[str, str]:
    """Split such an id into peer and forward id."""
    peer, _, forward = request.partition(PEER_SEPARATOR)
    return peer, forward


class Answers:
    """Ends requests. Invariant: nothing is answered twice, and never after a caller has gone."""

    def __init__(self, context: Context, table: RequestTable, slots: HeldSlots) -> None:
        self._context = context
        self._table = table
        self._slots = slots

    def reject(self, request: str, on_behalf_of: str, code: ErrorCode, now: float) -> None:
        """Refuse what never became a request of an account: nothing can have run under it."""
        verdict = Verdict.NOT_RUN.value
        self._context.count(f"refused.{code.name}")
        if on_behalf_of:
            _, forward = read_peer_request(request)
            at = self._context.read_wall(now)
            reply = ReservedReply(request=forward, error=code.name, verdict=verdict, at=at)
            self._context.send(on_behalf_of, reply)
            return
        self._context.emit(actions.Refuse(request, code.name, verdict, verdict, code.retry_after))

    def refuse(self, request: Request, code: ErrorCode, verdict: Verdict, now: float) -> None:
        """Refuse a request and close it; `verdict` speaks of its key."""
        self._slots.release(request, completed=False)
        if not request.detached:
            self.send_refusal(request, code, verdict, now)
        self._table.remove(request)

    def send_refusal(self, request: Request, code: ErrorCode, verdict: Verdict, now: float) -> None:
        """Answer with a refusal and leave the request open."""
        self._context.count(f"refused.{code.name}")
        peer = request.arrived.on_behalf_of
        if peer:
            _, forward = read_peer_request(request.id)
            at = self._context.read_wall(now)
            reply = ReservedReply(request=forward, error=code.name, verdict=verdict.value, at=at)
            self._context.send(peer, reply)
            return
        retry_after = code.retry_after
        if code in SLOT_REFUSALS:
            retry_after = max(retry_after, request.owner_retry_after)
        if not request.idempotent and verdict is Verdict.NOT_RUN and retry_after:
            # A refusal holds for its key this long, see ClaimDuty._settle_refused.
            hold = self._context.options.claim_timeout + CLOCK_SKEW
            retry_after = max(retry_after, hold)
        self._context.emit(
            actions.Refuse(request.id, code.name, verdict.value, request.judge().value, retry_after)
        )

    def reply(self, request: Request, outcome: Outcome, replayed: bool, now: float) -> None:
        """Answer with a whole outcome and close the request."""
        self._slots.release(request, completed=False)
        if not request.detached:
            self._send_outcome(request, outcome, replayed)
        self._table.remove(request)

    def cut(self, request: Request, code: ErrorCode) -> None:
        """End an answer that has begun so that the caller sees it is not whole."""
        self._context.count(codes.ANSWERS_CUT)
        self._context.emit(actions.CutAnswer(request.id, code.name))
        self._slots.release(request, completed=False)
        self._table.remove(request)

    def _send_outcome(self, request: Request, outcome: Outcome, replayed: bool) -> None:
        peer = request.arrived.on_behalf_of
        if peer:
            _, forward = read_peer_request(request.id)
            reply = ReservedReply(
                request=forward,
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
