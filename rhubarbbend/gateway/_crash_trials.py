"""Asks the coordinator of a cause of crashes for a trial, and answers other instances that ask.

Each cause has one coordinator, the same for all instances with the same list of instances. If an
instance reaches no coordinator, its trials are its own: it may be partitioned from all others.
"""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, Final

import msgspec

from rhubarbbend.core.crashes import TrialTable, list_coordinators
from rhubarbbend.decoding import decode_msgpack
from rhubarbbend.gateway._peers import TRIAL_PATH, PeerClient
from rhubarbbend.gateway._state import Clock, State

# An instance that did not reply is not asked for this long; each question costs a time-out.
SILENCE_BACKOFF_S: Final = 5.0

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class TrialQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks for a trial of a cause, or tells that one has ended, with or without its target."""

    cause: str
    holder: str
    has_ended: bool = False
    was_lost: bool = False


class TrialReply(msgspec.Struct, frozen=True, array_like=True):
    """`wait_s` is 0 if the trial is granted, otherwise the time after which to ask again."""

    wait_s: float


class TrialClient:
    """Asks for trials, and coordinates those of the causes that fall to this instance."""

    def __init__(self, state: State, peers: PeerClient, spawn: Spawn, clock: Clock) -> None:
        self._state = state
        self._peers = peers
        self._spawn = spawn
        self._clock = clock
        self._table = TrialTable()
        self._silent_until: dict[str, float] = {}
        # Who granted the trials that this instance holds.
        self._grantors: dict[str, str] = {}

    def serve(self, body: bytes) -> bytes:
        """Answer another instance's query; raise `MsgspecError` if it is invalid."""
        return msgspec.msgpack.encode(self._coordinate(decode_msgpack(body, type=TrialQuery)))

    def _coordinate(self, query: TrialQuery) -> TrialReply:
        now = self._clock()
        if not query.has_ended:
            return TrialReply(self._table.request(query.cause, query.holder, now))
        self._table.record_end(query.cause, query.holder, query.was_lost, now)
        return TrialReply(0.0)

    async def request(self, cause: str) -> float:
        """Ask for a trial; return 0 if this instance has it, else after how long to ask again."""
        own = self._state.settings.instance
        query = TrialQuery(cause, own)
        for name in list_coordinators(cause, self._state.list_instance_ids()):
            reply = self._coordinate(query) if name == own else await self._ask(name, query)
            if reply is not None:
                if reply.wait_s <= 0.0:
                    self._grantors[cause] = name
                return reply.wait_s
        return 0.0

    def end(self, cause: str, was_lost: bool) -> None:
        """Tell the coordinator that a trial of this instance has ended."""
        name = self._grantors.pop(cause, None)
        own = self._state.settings.instance
        query = TrialQuery(cause, own, has_ended=True, was_lost=was_lost)
        if name == own:
            self._coordinate(query)
        elif name is not None:
            self._spawn(self._tell(name, query))

    async def _tell(self, instance: str, query: TrialQuery) -> None:
        await self._ask(instance, query)

    async def _ask(self, instance: str, query: TrialQuery) -> TrialReply | None:
        row = self._state.instances.get(instance)
        if row is None or self._clock() < self._silent_until.get(instance, 0.0):
            return None
        body = msgspec.msgpack.encode(query)
        reply = await self._peers.ask((row.host, row.port), TRIAL_PATH, body)
        if not reply:
            self._silent_until[instance] = self._clock() + SILENCE_BACKOFF_S
            return None
        try:
            return decode_msgpack(reply, type=TrialReply)
        except msgspec.MsgspecError as error:
            self._state.event_log.write("peer_unreadable", self._clock(), reason=str(error))
            return None
