"""One gateway instance: its servers, its life from start to planned stop, and what it watches."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from collections.abc import Callable, Coroutine
from socket import socket
from typing import Any, Final

import msgspec

from rhubarbbend import VERSION, codes
from rhubarbbend.core.readers import InstanceRow, ReaderSelector
from rhubarbbend.gateway._attempts import AttemptRunner
from rhubarbbend.gateway._crash_watch import CrashWatch
from rhubarbbend.gateway._follower import StateFollower
from rhubarbbend.gateway._interfaces import Adapter
from rhubarbbend.gateway._journal import Journal
from rhubarbbend.gateway._load_telling import LoadTelling
from rhubarbbend.gateway._metrics import CONTENT_TYPE
from rhubarbbend.gateway._peers import PeerClient, PeerServer
from rhubarbbend.gateway._serving import RequestServer
from rhubarbbend.gateway._settings import GatewaySettings, SettingsInvalid, SettingsReader
from rhubarbbend.gateway._state import Note, State, read_clock
from rhubarbbend.http import ConnectionPool, Exchange, HttpServer, ServerLimits
from rhubarbbend.stop_signals import STOP_SIGNALS, ignore_late_stop

# Idle connections to targets are kept for so long at the most, in seconds.
TARGET_IDLE: Final = 10.0
# Descriptors that are not for callers: connections to targets, store and peers, files.
RESERVED_DESCRIPTORS: Final = 700
# Of the memory that the process may use, what callers' bodies may take together. The rest is for
# the program (17 MB), answers on their way and what the system holds of connections.
HELD_PART: Final = 0.25
# How often the process looks whether it has been away, and how long away counts.
WATCH_INTERVAL: Final = 0.25
PAUSE_MARGIN: Final = 0.75
HOUSEKEEPING_INTERVAL: Final = 1.0
# The settings may change without a signal; reading the file takes 0.1 ms.
SETTINGS_INTERVAL: Final = 5.0
# Settings that hold for the life of a process.
FIXED_SETTINGS: Final = frozenset(
    {"instance", "zone", "callers", "ready", "store", "peers", "advertised", "metrics"}
)
# The platform asks for readiness once a second and takes an instance out after two misses; until
# then new connections still come and are served.
OUT_OF_ROTATION: Final = 2.6
# Of the time until the process is killed, what is left for the last bytes to go out.
STOP_MARGIN: Final = 0.6
STOP_POLL: Final = 0.05
# Places are told together after this time; a chat's next request comes seconds later.
PLACES_DELAY: Final = 0.05


class Instance:
    """One process of the fleet. Invariant: it serves from its start until `run` returns."""

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: Adapter,
        journal: Journal,
        read_settings: SettingsReader,
        listener: socket | None = None,
    ) -> None:
        self.settings = settings
        # Listens for callers since before the program was loaded, if it could.
        self._listener = listener
        self._read_settings = read_settings
        self.state = State(settings, adapter.decoder.tables, journal)
        self._adapter = adapter
        self._journal = journal
        self._pool = ConnectionPool(TARGET_IDLE)
        self._peer_pool = ConnectionPool(TARGET_IDLE)
        attempts = AttemptRunner(self.state, self._pool, adapter.targets, read_clock)
        self._requests = RequestServer(self.state, adapter.callers, attempts, read_clock)
        selector = ReaderSelector(settings.instance, settings.zone)
        self._peers = PeerClient(self.state, self._peer_pool, selector)
        crashes = CrashWatch(self.state, self._peers, self._spawn)
        attempts.crash_listener = crashes.suspect
        self._follower = StateFollower(
            self.state, adapter.store, adapter.decoder, self._peers, selector
        )
        self._load_telling = LoadTelling(self.state, selector)
        self._callers = HttpServer(self._requests.serve)
        self._servers: list[HttpServer] = [self._callers]
        self._background: set[asyncio.Task[None]] = set()
        self._stop_asked = asyncio.Event()
        self._limits_version = -1
        self._settings_read_at = 0.0
        self._has_places = asyncio.Event()
        self.state.placement.prompt_locations.on_update = self._has_places.set

    async def run(self) -> None:
        """Serve until a planned stop has ended."""
        own = self.settings
        self.state.started_at = read_clock()
        self._log("started", version=VERSION, pid=os.getpid(), zone=own.zone)
        self._set_gauges()
        self._handle_signals()
        await self._listen()
        self._follower.start()
        self._spawn(self._watch_pauses())
        self._spawn(self._keep_house())
        self._spawn(self._tell_places())
        if own.reached_at is not None:
            sends_from = own.peers if own.advertised is not None else None
            row = InstanceRow(own.zone, *own.reached_at, own.link, own.cores, sends_from)
            self._spawn(self._follower.instances.join(row))
        await self._stop_asked.wait()
        await self._stop()

    async def _listen(self) -> None:
        own = self.settings
        if self._listener is None:
            await self._callers.listen(*own.callers)
        else:
            await self._callers.listen_on(self._listener)
        await self._serve_on(own.ready, self._serve_ready)
        if own.peers is not None:
            await self._serve_on(own.peers, PeerServer(self.state).serve)
            await self._load_telling.open(own.peers)
            self._spawn(self._load_telling.run())
        if own.metrics is not None:
            try:
                await self._serve_on(own.metrics, self._serve_metrics)
            except OSError as error:
                # Callers are served without it; whoever reads metrics sees that they are missing.
                self._log("metrics_unavailable", reason=str(error))

    async def _serve_on(
        self, address: tuple[str, int], handler: Callable[[Exchange], Coroutine[Any, Any, None]]
    ) -> None:
        server = HttpServer(handler)
        await server.listen(*address)
        self._servers.append(server)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background.add(task)
        task.add_done_callback(self._note_done)

    def _note_done(self, task: asyncio.Task[None]) -> None:
        self._background.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.state.metrics.add(codes.INTERNAL_ERRORS)
            self._log("internal_error", reason=repr(task.exception()))

    def _log(self, event: str, **fields: Any) -> None:
        self._journal.write(event, read_clock(), **fields)

    # What others ask.

    async def _serve_ready(self, exchange: Exchange) -> None:
        if self.state.ready:
            exchange.respond(200, [("Content-Type", "text/plain")], b"ready\n")
        else:
            exchange.respond(503, [("Content-Type", "text/plain")], b"not ready\n")

    async def _serve_metrics(self, exchange: Exchange) -> None:
        exchange.respond(200, [("Content-Type", CONTENT_TYPE)], self.state.metrics.render())

    def _set_gauges(self) -> None:
        state = self.state
        metrics = state.metrics
        metrics.set_gauge("open_requests", lambda: self._requests.open)
        metrics.set_gauge("targets", state.registry.count)
        metrics.set_gauge("instances", lambda: len(state.list_instances()))
        metrics.set_gauge(
            "instances_heard", lambda: state.loads.peer_counts.count_instances(read_clock())
        )
        metrics.set_gauge("ready", lambda: float(state.ready))
        metrics.set_gauge("store_reached", lambda: float(self._follower.store_reached))
        metrics.set_gauge("reads_store", lambda: float(self._follower.reads_store))
        metrics.set_gauge(
            "config_version", lambda: -1 if state.catalog is None else state.catalog.version
        )
        metrics.set_gauge("log_lines_dropped", lambda: self._journal.dropped)

    # Housekeeping.

    async def _watch_pauses(self) -> None:
        """Notice that this process did not run for a while.

        What it knows may be out of date and its connections dead; the steady clock may not have
        counted the time, so the clock that does is looked at too.
        """
        before, before_boot = read_clock(), _read_boot_clock()
        while True:
            await asyncio.sleep(WATCH_INTERVAL)
            now, boot = read_clock(), _read_boot_clock()
            away = max(now - before, boot - before_boot) - WATCH_INTERVAL
            before, before_boot = now, boot
            if away > PAUSE_MARGIN:
                self.state.metrics.add(codes.PAUSES)
                self._log("paused", seconds=round(away, 3))
                self._pool.close_all_idle()
                self._peer_pool.close_all_idle()
                self._follower.refresh()

    async def _tell_places(self) -> None:
        """Tell the other instances of prompts that are not where they would look."""
        while True:
            await self._has_places.wait()
            await asyncio.sleep(PLACES_DELAY)
            self._has_places.clear()
            places = self.state.placement.prompt_locations.pop_updates(read_clock())
            await self._peers.tell(Note(places))

    async def _keep_house(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL)
            now = read_clock()
            self._pool.close_expired(now)
            self._peer_pool.close_expired(now)
            self._apply_limits()
            if now - self._settings_read_at >= SETTINGS_INTERVAL:
                self._reload()

    def _reload(self) -> None:
        """Read the settings anew; they may change with a signal or without one.

        Bounds are in force at once. An address on which this process listens, or the store's,
        cannot change while it runs; the log says that it has to be started again for them.
        """
        self._settings_read_at = read_clock()
        try:
            settings = self._read_settings()
        except SettingsInvalid as invalid:
            self._log("settings_invalid", reason=str(invalid))
            return
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        if not changed:
            return
        fixed = [name for name in changed if name in FIXED_SETTINGS]
        kept = {name: getattr(self.settings, name) for name in fixed}
        self.settings = msgspec.structs.replace(settings, **kept)
        self.state.apply_settings(self.settings)
        self._log("reloaded", changed=changed, needs_start=fixed or None)

    def _apply_limits(self) -> None:
        catalog = self.state.catalog
        if catalog is None or catalog.version == self._limits_version:
            return
        self._limits_version = catalog.version
        limits = catalog.limits
        self._callers.set_limits(
            ServerLimits(
                max_header_bytes=limits.max_header_bytes,
                max_body_bytes=limits.max_body_bytes,
                max_buffered_body_bytes=int(self.settings.memory * HELD_PART),
                head_timeout=limits.header_timeout,
                idle_timeout=limits.idle_timeout,
                max_connections=max(64, self.settings.max_descriptors - RESERVED_DESCRIPTORS),
            )
        )

    # The end.

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._stop_asked.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    async def _stop(self) -> None:
        """End without cutting a request: out of rotation first, then the last answers.

        Readiness goes at once. Connections still come until the platform has seen that, and are
        served; every answer from now on ends its connection.
        """
        began = read_clock()
        killed_at = began + self.settings.stop_grace - STOP_MARGIN
        self.state.stopping = True
        self._log("stopping", open=self._requests.open)
        self._callers.start_draining()
        if self.settings.peers is not None:
            self._spawn(self._follower.instances.leave())
        await asyncio.sleep(min(OUT_OF_ROTATION, self.settings.stop_grace / 3))
        self._callers.stop_accepting()
        while self._requests.open and read_clock() < killed_at:
            await asyncio.sleep(STOP_POLL)
        cut = self._requests.open
        if not cut:
            # Answers that were written may still be on their way out.
            try:
                async with asyncio.timeout_at(killed_at):
                    await self._callers.finish()
            except TimeoutError:
                self._log("callers_slow")
        self._follower.stop()
        self._log("stopped", cut=cut, after=round(read_clock() - began, 3))
        self._journal.close()
        ignore_late_stop(asyncio.get_running_loop())


def _read_boot_clock() -> float:
    """Give the time since the machine started, with the time that it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def serve(
    settings: GatewaySettings,
    adapter: Adapter,
    read_settings: SettingsReader,
    listener: socket | None = None,
) -> int:
    """Run an instance to its planned stop; gives the exit status.

    `listener` listens on the callers' address already, if it is given.
    """
    journal = Journal(settings.instance)
    asyncio.run(Instance(settings, adapter, journal, read_settings, listener).run())
    return 0
