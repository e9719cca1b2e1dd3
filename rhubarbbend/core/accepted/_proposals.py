"""The proposal duty: takes operators' changes to the table.

A change is accepted by one conditional insert of version n+1, together with a row for its change
id, so that a retry finds the version it already has. Operators race on the insert of the version:
one wins, the other is told who did.
"""

from __future__ import annotations

import hashlib
from typing import Final

import attrs
import msgspec

from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.accepted._follower import CHANGE_TABLE, Change, FollowerDuty, make_change_key
from rhubarbbend.core.accepted._validation import find_problems
from rhubarbbend.core.messages import Message

CHANGE_ID_TABLE: Final = "change_ids"
OP_PREFIX: Final = "config:write:"
REPEAT_INTERVAL: Final = 0.2

ERROR_INVALID: Final = "invalid_change"
ERROR_CONFLICT: Final = "version_conflict"
ERROR_UNKNOWN: Final = "outcome_unknown"
ERROR_BEHIND: Final = "behind"


class AcceptedId(msgspec.Struct, frozen=True):
    """The row of a change id: the version it was accepted as, and a digest of its items."""

    version: int
    digest: str


@attrs.define(slots=True)
class Proposal:
    """An operator's change on its way to the table."""

    op: str
    change: Change
    since: float


class ProposalDuty:
    """Operators' changes under way. Invariant: each ends in exactly one answer."""

    def __init__(self, context: Context, follower: FollowerDuty) -> None:
        self._context = context
        self._follower = follower
        self._proposals: dict[str, Proposal] = {}
        self._next_op = 0

    def list_events(self) -> dict[type[events.Event], EventHandler]:
        """Handle operators' changes and the table's answers."""
        return {
            events.ChangeProposed: self._handle_proposal,
            events.WriteDone: self._handle_write,
        }

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Handle no messages."""
        return {}

    def _handle_proposal(self, event: events.ChangeProposed, now: float) -> None:
        """Check a change against the version it is based on, and send it to the table.

        On a version that is already followed by another the insert cannot succeed: the change is
        either a retry, whose version the table tells, or has lost a race.
        """
        configuration = self._context.configuration
        if event.base_version > configuration.version:
            # Accepted here, it would leave a gap in the versions that nobody could follow.
            self._answer(event.op, ERROR_BEHIND, configuration.version)
            return
        if event.base_version == configuration.version:
            problems = find_problems(configuration, event.items)
            if problems:
                self._answer(event.op, f"{ERROR_INVALID}: {'; '.join(problems)}")
                return
        change = Change(event.base_version + 1, event.change_id, event.author, event.items)
        self._write(Proposal(event.op, change, now))

    def _write(self, proposal: Proposal) -> None:
        """Insert the next version and the change id; both or neither."""
        self._next_op += 1
        op = f"{OP_PREFIX}{self._next_op}"
        self._proposals[op] = proposal
        change = proposal.change
        accepted = AcceptedId(change.version, _make_digest(change))
        writes = [
            actions.Write(
                CHANGE_TABLE, make_change_key(change.version), msgspec.json.encode(change), 0
            ),
            actions.Write(CHANGE_ID_TABLE, change.change_id, msgspec.json.encode(accepted), 0),
        ]
        self._context.emit(actions.WriteRows(op, writes, atomic=True))

    def _handle_write(self, event: events.WriteDone, now: float) -> None:
        proposal = self._proposals.pop(event.op, None)
        if proposal is None:
            return
        if event.status != "done":
            self._repeat(proposal, now)
            return
        winner, accepted = event.rows
        if all(event.applied):
            self._accept(proposal, proposal.change.version, now)
        elif accepted is not None:
            self._settle_known(proposal, accepted, now)
        else:
            version = proposal.change.version
            self._answer(proposal.op, ERROR_CONFLICT, version, _read_author(winner))
            self._follower.scan(now)

    def _settle_known(self, proposal: Proposal, row: events.Row, now: float) -> None:
        """Answer a change id that the table knows: the answer to its write was lost."""
        accepted = msgspec.json.decode(row.value, type=AcceptedId)
        if accepted.digest == _make_digest(proposal.change):
            self._accept(proposal, accepted.version, now)
            return
        problem = f"{ERROR_INVALID}: the change id was used for version {accepted.version}"
        self._answer(proposal.op, problem)

    def _repeat(self, proposal: Proposal, now: float) -> None:
        """Send the same write again: it is accepted once however often it arrives."""
        if now - proposal.since >= self._context.options.config_write_timeout:
            self._answer(proposal.op, ERROR_UNKNOWN)
            return
        self._context.set_timer(now + REPEAT_INTERVAL, lambda at: self._write(proposal))

    def _accept(self, proposal: Proposal, version: int, now: float) -> None:
        if version == proposal.change.version:
            self._follower.take_change(proposal.change)
            self._follower.push(proposal.change, now)
        self._context.log("change_accepted", version=str(version), author=proposal.change.author)
        self._answer(proposal.op, "", version)
        self._follower.scan(now)

    def _answer(self, op: str, error: str, version: int = 0, author: str = "") -> None:
        self._context.emit(actions.AnswerOperator(op, error, version, author))


def _make_digest(change: Change) -> str:
    return hashlib.blake2b(msgspec.json.encode(change.items), digest_size=16).hexdigest()


def _read_author(row: events.Row | None) -> str:
    if row is None:
        return ""
    try:
        return msgspec.json.decode(row.value, type=Change).author
    except msgspec.MsgspecError:
        return ""
