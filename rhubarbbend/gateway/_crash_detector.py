"""Detects whether a target that closed a connection has crashed, and attributes it to the request.

Confirmed crashes are recorded by request digest and sent to the other instances, so that a request
that crashes targets is refused everywhere.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from rhubarbbend import codes
from rhubarbbend.core.directory import Target
from rhubarbbend.gateway._peers import PeerClient
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._state import CrashReport, PeerUpdate, State, read_clock
from rhubarbbend.http import Connection, HttpFailure

# A target that closed a connection before answering is checked after this delay, since a process
# that ends may still accept a connection while its others are being closed.
CRASH_CHECK_DELAY_S: Final = 0.1
CRASH_CHECK_TIMEOUT_S: Final = 0.2
# If several targets become unreachable within this time, the cause is a network failure rather than
# a crash.
SIMULTANEOUS_LOSS_WINDOW_S: Final = 0.4
# Other targets that are tried, since one of them may be down as well.
MAX_TARGETS_TRIED: Final = 2

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class CrashDetector:
    """Checks targets that closed the connection of a request before answering it.

    Invariant: no request waits for a check; each runs as a task of its own.
    """

    def __init__(self, state: State, peers: PeerClient, spawn: Spawn) -> None:
        self._state = state
        self._peers = peers
        self._spawn = spawn

    def handle_broken_connection(self, request: OpenRequest, target: Target) -> None:
        """Start a check of a target that closed the connection of a request before answering it."""
        self._spawn(self._check_for_crash(request.id, request.digest, target))

    async def _check_for_crash(self, request: str, digest: str, target: Target) -> None:
        """Record a crash if the target does not accept a new connection.

        Connections are reset for many reasons. If each reset counted against its request, valid
        requests would be refused after two. No crash is recorded either if several targets became
        unreachable at once, since a single request cannot have caused that, or if this instance
        reaches no other target: it may have lost its own links.
        """
        state = self._state
        await asyncio.sleep(CRASH_CHECK_DELAY_S)
        try:
            connection = await Connection.open(target.address, CRASH_CHECK_TIMEOUT_S)
            connection.close()
            self._log_doubt(request, digest, target, "accepts connections")
            return
        except HttpFailure as failure:
            reason = failure.reason
        state.health.record_unreachable(target.id, read_clock())
        # After this delay, other targets that failed at the same time are known to be unreachable.
        await asyncio.sleep(CRASH_CHECK_DELAY_S)
        now = read_clock()
        unreachable = state.health.count_unreachable_since(now - SIMULTANEOUS_LOSS_WINDOW_S)
        if unreachable > 1:
            self._log_doubt(request, digest, target, f"{unreachable} targets lost together")
            return
        if not await self._reaches_another(target):
            self._log_doubt(request, digest, target, "no other target is reached")
            return
        if state.crashes.record_crash(digest, target.id, now):
            state.metrics.increment_counter(codes.SUSPECTS)
            state.event_log.write(
                "crash_counted", now, id=request, digest=digest, target=target.id, reason=reason
            )
            await self._peers.broadcast(PeerUpdate(crashes=[CrashReport(digest, target.id)]))

    def _log_doubt(self, request: str, digest: str, target: Target, doubt: str) -> None:
        self._state.event_log.write(
            "crash_doubted", read_clock(), id=request, digest=digest, target=target.id, doubt=doubt
        )

    async def _reaches_another(self, target: Target) -> bool:
        """Return whether some other target accepts a connection, or there is none to try."""
        registry = self._state.registry
        others = [other for other in registry.list_targets() if other.id != target.id]
        for other in self._state.random.sample(others, min(MAX_TARGETS_TRIED, len(others))):
            try:
                connection = await Connection.open(other.address, CRASH_CHECK_TIMEOUT_S)
            except HttpFailure:
                continue
            connection.close()
            return True
        return not others
