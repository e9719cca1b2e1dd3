"""Validates the configuration changes that operators propose and writes them to the change table.

A change is accepted by one conditional insert of version n+1, together with a row for its change
id, so that a retry finds the version that the change was accepted as. When two operators insert
the same version, one insert succeeds; the other operator gets the author of the accepted change.
"""

from __future__ import annotations

import hashlib
from typing import Final

import attrs
import msgspec

from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.accepted._follower import (
    CHANGE_TABLE,
    Change,
    ConfigurationFollower,
    make_change_key,
)
from rhubarbbend.core.accepted._validation import find_problems
from rhubarbbend.core.messages import Message
from rhubarbbend.decoding import decode_json

CHANGE_ID_TABLE: Final = "change_ids"
WRITE_OP_PREFIX: Final = "config:write:"
WRITE_RETRY_INTERVAL_S: Final = 0.2

ERROR_INVALID: Final = "invalid_change"
ERROR_CONFLICT: Final = "version_conflict"
ERROR_UNKNOWN: Final = "outcome_unknown"
ERROR_BEHIND: Final = "behind"


class AcceptedChangeId(msgspec.Struct, frozen=True):
    """The row of a change id: the version that it was accepted as and a digest of its items."""

    version: int
    digest: str


@attrs.define(slots=True)
class Proposal:
    """A change of an operator whose write to the table is not answered yet."""

    op: str
    change: Change
    started_at: float


class ProposalCoordinator:
    """Writes operators' changes. Invariant: each change gets exactly one answer."""

    def __init__(self, context: Context, follower: ConfigurationFollower) -> None:
        self._context = context
        self._follower = follower
        self._proposals: dict[str, Proposal] = {}
        self._next_op = 0

    def get_event_handlers(self) -> dict[type[events.Event], EventHandler]:
        """Return handlers of operators' changes and of replies of the table."""
        return {
            events.ChangeProposed: self._handle_proposal,
            events.WriteDone: self._handle_write,
        }

    def get_message_handlers(self) -> dict[type[Message], EventHandler]:
        """Return no handlers: no peer messages are needed."""
        return {}

    def _handle_proposal(self, event: events.ChangeProposed, now: float) -> None:
        """Validate a change against the version that it is based on, and write it to the table.

        The insert cannot succeed if the base version already has a successor. The change is then
        either a retry, whose accepted version is in the table, or conflicts with another change.
        """
        configuration = self._context.configuration
        if event.base_version > configuration.version:
            # This instance is behind the operator. Inserting the change could leave a gap in the
            # versions, and no instance could apply a change after a gap.
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
        """Insert the rows of the next version and of the change id in one atomic write."""
        self._next_op += 1
        op = f"{WRITE_OP_PREFIX}{self._next_op}"
        self._proposals[op] = proposal
        change = proposal.change
        accepted = AcceptedChangeId(change.version, _compute_digest(change))
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
            self._retry(proposal, now)
            return
        version_row, accepted = event.rows
        if all(event.applied):
            self._accept(proposal, proposal.change.version, now)
        elif accepted is not None:
            self._answer_known_change_id(proposal, accepted, now)
        else:
            version = proposal.change.version
            self._answer(proposal.op, ERROR_CONFLICT, version, _read_author(version_row))
            self._follower.scan(now)

    def _answer_known_change_id(self, proposal: Proposal, row: events.Row, now: float) -> None:
        """Answer a proposal whose change id is in the table already.

        It is a retry after the reply to the first write was lost, or the id was used for another
        change, which is an error.
        """
        accepted = decode_json(row.value, type=AcceptedChangeId)
        if accepted.digest == _compute_digest(proposal.change):
            self._accept(proposal, accepted.version, now)
            return
        problem = f"{ERROR_INVALID}: the change id was used for version {accepted.version}"
        self._answer(proposal.op, problem)

    def _retry(self, proposal: Proposal, now: float) -> None:
        """Repeat a write whose outcome is unknown, until the operator's timeout.

        Repeating is safe: the conditional inserts take effect at most once.
        """
        if now - proposal.started_at >= self._context.options.config_write_timeout:
            self._answer(proposal.op, ERROR_UNKNOWN)
            return
        self._context.set_timer(now + WRITE_RETRY_INTERVAL_S, lambda at: self._write(proposal))

    def _accept(self, proposal: Proposal, version: int, now: float) -> None:
        if version == proposal.change.version:
            self._follower.apply_change(proposal.change)
            self._follower.push(proposal.change, now)
        self._context.log("change_accepted", version=str(version), author=proposal.change.author)
        self._answer(proposal.op, "", version)
        self._follower.scan(now)

    def _answer(self, op: str, error: str, version: int = 0, author: str = "") -> None:
        self._context.emit(actions.AnswerOperator(op, error, version, author))


def _compute_digest(change: Change) -> str:
    return hashlib.blake2b(msgspec.json.encode(change.items), digest_size=16).hexdigest()


def _read_author(row: events.Row | None) -> str:
    if row is None:
        return ""
    try:
        return decode_json(row.value, type=Change).author
    except msgspec.MsgspecError:
        return ""
