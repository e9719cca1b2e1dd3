"""Connections to targets that this instance cannot reach itself, and those it opens for others."""

from __future__ import annotations

import asyncio
from typing import Final

from rhubarbbend import codes
from rhubarbbend.core._fleet import Fleet
from rhubarbbend.core.detours import HelperSelector, PathTracker
from rhubarbbend.core.messages import TunnelRequest
from rhubarbbend.http import Connection, ConnectionOpener, HttpFailure
from rhubarbbend.peers import TunnelDeclined, TunnelOpener, decline_tunnel, serve_tunnel
from rhubarbbend.shell._metrics import Metrics

# A direct connection is made within a round trip. After this time a tunnel is tried beside it, and
# the first one that is open is used.
DIRECT_HEAD_START_S: Final = 0.15
TUNNEL_TIMEOUT_S: Final = 0.6
MAX_HELPERS_ASKED: Final = 2
# Tunnels that an instance serves at a time.
MAX_TUNNELS: Final = 256

Address = tuple[str, int]


class DetourOpener(ConnectionOpener):
    """Connects to targets, through another instance where the direct path is lost.

    The request, its slot and its claim stay with this instance, whichever way its connection takes.
    """

    def __init__(self, fleet: Fleet, tunnels: TunnelOpener, metrics: Metrics) -> None:
        self._fleet = fleet
        self._tunnels = tunnels
        self._metrics = metrics
        self._paths = PathTracker()
        self._selector = HelperSelector(fleet.own_id, fleet.own_zone)

    async def open(self, address: Address, timeout: float) -> Connection:
        """Connect to a target; raise the failure of the direct connection if no way works."""
        if self._paths.is_lost(address, self._now()):
            connection = await self._open_tunnel(address, timeout)
            if connection is not None:
                return connection
        return await self._open_either(address, timeout)

    async def _open_either(self, address: Address, timeout: float) -> Connection:
        direct = asyncio.ensure_future(Connection.open(address, timeout))
        tunnel: asyncio.Future[Connection | None] | None = None
        chosen: Connection | None = None
        try:
            await asyncio.wait((direct,), timeout=DIRECT_HEAD_START_S)
            if not _is_open(direct):
                tunnel = asyncio.ensure_future(self._open_tunnel(address, timeout))
                await asyncio.wait((direct, tunnel), return_when=asyncio.FIRST_COMPLETED)
                if not _is_open(direct):
                    chosen = await tunnel
            if chosen is None:
                chosen = await direct
                self._paths.record_direct(address)
            else:
                self._paths.record_tunnelled(address, self._now())
            return chosen
        finally:
            for attempt in (direct, tunnel):
                _discard(attempt, chosen)

    async def _open_tunnel(self, address: Address, timeout: float) -> Connection | None:
        target = self._find_target(address)
        ends_at = self._now() + min(timeout, TUNNEL_TIMEOUT_S)
        asked: set[str] = set()
        while target is not None and len(asked) < MAX_HELPERS_ASKED:
            helpers = {i.id: i for i in self._fleet.instances.values() if not i.leaving}
            zones = {name: instance.zone for name, instance in helpers.items()}
            name = self._selector.select(target, zones, (), asked, self._now())
            if name is None:
                return None
            asked.add(name)
            helper = (helpers[name].host, helpers[name].peer_port)
            try:
                connection = await self._tunnels.open(
                    helper, target, address, ends_at - self._now()
                )
            except TunnelDeclined:
                self._metrics.add(codes.TUNNELS_DECLINED)
                self._selector.record_declined(target, name, self._now())
            except HttpFailure:
                self._selector.record_lost(name, self._now())
            else:
                self._metrics.add(codes.TUNNELS_OPENED)
                self._selector.record_answered(target, name, self._now())
                return connection
        return None

    def _find_target(self, address: Address) -> str | None:
        targets = self._fleet.targets.values()
        return next((t.id for t in targets if (t.host, t.port) == address), None)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()


class TunnelServer:
    """Serves tunnels to known targets. Invariant: at most `MAX_TUNNELS` are open at a time."""

    def __init__(self, fleet: Fleet, metrics: Metrics) -> None:
        self._fleet = fleet
        self._metrics = metrics
        self._open_count = 0

    async def serve(
        self, request: TunnelRequest, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one tunnel until one of its ends closes."""
        target = self._fleet.targets.get(request.target)
        if target is None or self._open_count >= MAX_TUNNELS:
            await decline_tunnel(writer)
            return
        self._open_count += 1
        try:
            if await serve_tunnel((target.host, target.port), reader, writer):
                self._metrics.add(codes.TUNNELS_SERVED)
        finally:
            self._open_count -= 1


def _is_open(attempt: asyncio.Future[Connection]) -> bool:
    return attempt.done() and not attempt.cancelled() and attempt.exception() is None


def _discard(
    attempt: asyncio.Future[Connection] | asyncio.Future[Connection | None] | None,
    chosen: Connection | None,
) -> None:
    """End an attempt to connect, and close its connection unless it is the chosen one."""
    if attempt is None or attempt.cancel() or attempt.cancelled():
        return
    connection = None if attempt.exception() is not None else attempt.result()
    if connection is not None and connection is not chosen:
        connection.close()
