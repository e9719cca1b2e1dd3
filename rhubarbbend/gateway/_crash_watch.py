"""Finds out whether a target that broke a connection off has crashed, and blames the request."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from rhubarbbend import codes
from rhubarbbend.core.directory import Target
from rhubarbbend.gateway._peers import PeerClient
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import CrashNote, Note, State, read_clock
from rhubarbbend.http import Connection, HttpFailure

# A target that broke a connection off is looked at after so many seconds: a process that ends
# may take one more connection while its others are being closed.
CRASH_CHECK_DELAY: Final = 0.1
CRASH_CHECK_TIMEOUT: Final = 0.2
# Targets that are lost within so many seconds of one another are cut off rather than crashed.
CRASH_CHECK_WINDOW: Final = 0.4

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class CrashWatch:
    """Looks at targets after they broke a connection off. Invariant: no request waits for it."""

    def __init__(self, state: State, peers: PeerClient, spawn: Spawn) -> None:
        self._state = state
        self._peers = peers
        self._spawn = spawn

    def suspect(self, request: OpenRequest, target: Target) -> None:
        """Take in that a target broke off a request that it had not answered."""
        self._spawn(self._confirm(request.id, request.digest, target))

    async def _confirm(self, request: str, digest: str, target: Target) -> None:
        """Count a crash if the target that broke a connection off takes no new one.

        Connections are reset for many reasons; blaming the request for each of them would refuse
        sound requests after two. Nor can one request have lost several targets at once.
        """
        state = self._state
        await asyncio.sleep(CRASH_CHECK_DELAY)
        try:
            connection = await Connection.open(target.address, CRASH_CHECK_TIMEOUT)
            connection.close()
            return
        except HttpFailure as failure:
            reason = failure.reason
        state.health.record_unreachable(target.id, read_clock())
        # Others that went at the same time are found out by now.
        await asyncio.sleep(CRASH_CHECK_DELAY)
        now = read_clock()
        lost = state.health.count_unreachable_since(now - CRASH_CHECK_WINDOW)
        if lost > 1:
            state.journal.write(
                "crash_doubted", now, id=request, target=target.id, lost_together=lost
            )
            return
        if state.crashes.record_crash(digest, target.id, now):
            state.metrics.add(codes.SUSPECTS)
            state.journal.write(
                "crash_counted", now, id=request, digest=digest, target=target.id, reason=reason
            )
            await self._peers.tell(Note(crashes=[CrashNote(digest, target.id)]))
