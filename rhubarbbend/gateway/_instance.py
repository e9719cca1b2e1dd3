"""Runs one gateway instance: its servers, its background tasks, and its graceful shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Coroutine
from functools import partial
from socket import socket
from typing import Any, Final

import msgspec

from rhubarbbend import VERSION, codes
from rhubarbbend.background import BackgroundTasks
from rhubarbbend.core.catalog import Catalog
from rhubarbbend.core.limits import HeldKind
from rhubarbbend.core.readers import InstanceRow, ReaderSelector
from rhubarbbend.core.stop_schedule import StopSchedule
from rhubarbbend.gateway._admission import AdmissionGate
from rhubarbbend.gateway._attempts import AttemptRunner
from rhubarbbend.gateway._crash_detector import CrashDetector
from rhubarbbend.gateway._crash_gate import CrashGate
from rhubarbbend.gateway._crash_news import CrashNews
from rhubarbbend.gateway._crash_queries import CrashQueries
from rhubarbbend.gateway._crash_trials import TrialClient
from rhubarbbend.gateway._detour_server import DetourServer
from rhubarbbend.gateway._detours import DetourClient
from rhubarbbend.gateway._displaced_targets import DisplacedTargets
from rhubarbbend.gateway._endpoints import Endpoints
from rhubarbbend.gateway._event_log import EventLog
from rhubarbbend.gateway._follower import StateFollower
from rhubarbbend.gateway._in_flight_protocol import InFlightProtocol
from rhubarbbend.gateway._interfaces import Adapter
from rhubarbbend.gateway._origin_store import OriginStore
from rhubarbbend.gateway._pause_detector import detect_pauses
from rhubarbbend.gateway._peers import PeerClient, PeerServer
from rhubarbbend.gateway._process_monitor import ProcessMonitor
from rhubarbbend.gateway._request_server import RequestServer
from rhubarbbend.gateway._server_limits import make_caller_limits, make_peer_limits
from rhubarbbend.gateway._settings import (
    GatewaySettings,
    SettingsInvalid,
    SettingsReader,
)
from rhubarbbend.gateway._start_confirmer import StartConfirmer
from rhubarbbend.gateway._state import State, read_clock
from rhubarbbend.gateway._state_gauges import register_state_gauges
from rhubarbbend.gateway._stream_keepers import StreamKeepers
from rhubarbbend.gateway._stream_origins import StreamOrigins
from rhubarbbend.gateway._stream_records import StreamRecordReader
from rhubarbbend.gateway._target_checker import TargetChecker
from rhubarbbend.gateway._target_prober import TargetProber
from rhubarbbend.gateway._update_broadcaster import UpdateBroadcaster
from rhubarbbend.gateway._version_recorder import VersionRecorder
from rhubarbbend.http import ConnectionPool, HttpServer
from rhubarbbend.stop_signals import STOP_SIGNALS, ignore_late_stop, release_reloads

# Maximum time for which an idle connection to a target or another instance is kept.
TARGET_IDLE_TIMEOUT_S: Final = 10.0
HOUSEKEEPING_INTERVAL_S: Final = 1.0
# The settings file may change without a signal. Reading it takes 0.1 ms.
SETTINGS_RELOAD_INTERVAL_S: Final = 5.0
# Settings that only take effect when the process is restarted.
RESTART_ONLY_SETTINGS: Final = frozenset(
    {"instance", "zone", "callers", "ready", "store", "peers", "advertised", "metrics"}
)
# The platform checks readiness once a second and takes an instance out of rotation after two failed
# checks. Until then new connections still arrive and are served.
READINESS_PROPAGATION_S: Final = 2.6
# Time left before the process is killed, in which the last bytes are sent.
STOP_MARGIN_S: Final = 0.6
STOP_POLL_INTERVAL_S: Final = 0.05


class Instance:
    """One gateway process. Invariant: it serves from its start until `run` returns."""

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: Adapter,
        event_log: EventLog,
        read_settings: SettingsReader,
        listener: socket | None = None,
    ) -> None:
        self.settings = settings
        # Already listening since before the program was loaded; None if that was not possible.
        self._listener = listener
        self._read_settings = read_settings
        self.state = State(settings, adapter.decoder.tables, event_log)
        self._background = BackgroundTasks(self.state.report_internal_error)
        self._adapter = adapter
        self._event_log = event_log
        self._pool = ConnectionPool(TARGET_IDLE_TIMEOUT_S)
        self._peer_pool = ConnectionPool(TARGET_IDLE_TIMEOUT_S)
        attempts = AttemptRunner(self.state, self._pool, adapter.targets, read_clock)
        detours = self._make_detour_client(attempts)
        selector = ReaderSelector(settings.instance, settings.zone)
        self._peers = PeerClient(self.state, self._peer_pool, selector)
        self._crash_queries = CrashQueries(self.state, self._peers)
        self._peer_server = PeerServer(self.state)
        checker = self._make_target_checker(attempts)
        self._prober = TargetProber(self.state, self._pool, read_clock)
        gate = self._set_up_crash_detection(attempts, checker)
        self._in_flight_protocol = InFlightProtocol(self.state, selector)
        self._origin_store = OriginStore(self.state, adapter.store)
        self._version_recorder = VersionRecorder(self.state, adapter.store)
        self._follower = StateFollower(
            self.state, adapter.store, adapter.decoder, self._peers, selector
        )
        checker.read_targets = self._follower.read_targets
        self._starts = self._make_start_confirmer(attempts, checker)
        self._origins = self._set_up_streams(attempts)
        self._requests, self._detours_served = self._make_request_servers(attempts, detours, gate)
        self._monitor = ProcessMonitor(self.state, read_clock)
        self._caller_server, self._peer_http = self._make_servers()
        self._endpoints = Endpoints(self.state, self._caller_server, self._peer_http, self._spawn)
        self._stop_requested = asyncio.Event()
        self.state.on_catalog_applied = self._apply_limits
        self._settings_read_at = 0.0
        self._broadcaster = UpdateBroadcaster(self.state, self._peers)

    def _make_request_servers(
        self, attempts: AttemptRunner, detours: DetourClient, gate: CrashGate
    ) -> tuple[RequestServer, DetourServer]:
        """Return what serves callers' requests, and those that other instances hand over."""
        parts = (
            *(self.state, self._adapter.callers, attempts, detours),
            *(self._prober, gate, self._origins),
            *(AdmissionGate(self.state, read_clock), read_clock),
        )
        detour_server = DetourServer(*parts)
        self._peer_server.serve_detour = detour_server.serve
        return RequestServer(*parts), detour_server

    def _make_servers(self) -> tuple[HttpServer, HttpServer | None]:
        """Return the servers for callers and for other instances, if these have an address."""
        memory = self.state.memory
        callers = HttpServer(self._requests.serve, ledger=memory, answers_refusals=True)
        callers.on_connection_end = self._monitor.handle_connection_end
        if self.settings.peers is None:
            return callers, None
        return callers, HttpServer(
            self._peer_server.serve, None, memory, HeldKind.DETOUR, answers_refusals=True
        )

    def _make_target_checker(self, attempts: AttemptRunner) -> TargetChecker:
        """Return what tells whether targets have ended, also for answers that are forwarded."""
        checker = TargetChecker(
            self.state, self._peers, self._adapter.targets, attempts.has_open_connection, read_clock
        )
        displaced = DisplacedTargets(self.state, self._peers, checker.is_met, read_clock)
        attempts.recorder.on_misdirected = displaced.record
        self.state.on_displaced_learned = displaced.merge_notices
        attempts.forwarder.runs_on = checker.runs_on
        self._peer_server.on_target_check = checker.serve
        return checker

    def _set_up_crash_detection(self, attempts: AttemptRunner, checker: TargetChecker) -> CrashGate:
        """Have attempts report losses of targets, and return the gate that they have to pass."""
        self._peers.on_regained = lambda peer: self._spawn(self._crash_queries.fetch(peer))
        news = CrashNews(self._peers, self._spawn)
        detector = CrashDetector(self.state, news, checker, attempts.answering, self._spawn)
        self.state.on_losses_learned = detector.clear_answered_parts
        attempts.on_loss = detector.handle_loss
        attempts.on_silence = detector.handle_silence
        attempts.forwarder.on_stream_begun.append(detector.handle_begun)
        attempts.recorder.on_answer = detector.handle_answer
        detector.check_service = self._prober.check
        self._prober.on_reached = detector.handle_reached
        trials = TrialClient(self.state, self._peers, self._spawn, read_clock)
        self._peer_server.on_trial_query = trials.serve
        return CrashGate(self.state, detector, trials, read_clock)

    def _make_detour_client(self, attempts: AttemptRunner) -> DetourClient:
        return DetourClient(
            self.state,
            self._peer_pool,
            self._adapter.callers,
            self._adapter.targets,
            attempts.forwarder,
            read_clock,
        )

    def _make_start_confirmer(
        self, attempts: AttemptRunner, checker: TargetChecker
    ) -> StartConfirmer:
        """Return what confirms the starts of targets, also for streams that are continued."""
        starts = StartConfirmer(self.state, checker, read_clock)
        starts.is_store_reachable = lambda: self._follower.is_store_reachable
        starts.has_contact = attempts.has_contact
        attempts.confirm_start = starts.confirm_if_needed
        return starts

    def _set_up_streams(self, attempts: AttemptRunner) -> StreamOrigins:
        """Have attempts tell which version began each stream, and answer others that ask."""
        keepers = StreamKeepers(self.state, self._peers, read_clock)
        records = StreamRecordReader(
            self.state,
            self._version_recorder.read_table,
            self._follower.read_targets,
            self._origin_store.read,
        )
        origins = StreamOrigins(self.state, keepers, records, self._starts, read_clock)
        attempts.forwarder.on_stream_begun.append(origins.record_begun)
        self._peer_server.on_stream_query = origins.serve
        self._in_flight_protocol.on_notice = origins.handle_notice
        keepers.send_notice = self._in_flight_protocol.send_notice
        origins.on_begun = self._origin_store.record
        origins.on_forgotten = self._origin_store.forget
        origins.is_loaded = lambda: self._origin_store.is_loaded
        self._origin_store.on_loaded = origins.record_stored
        return origins

    async def run(self) -> None:
        """Serve until a requested stop has completed."""
        settings = self.settings
        self.state.started_at = read_clock()
        self.state.connection_limits.record_start(self.state.started_at)
        self._log("started", version=VERSION, pid=os.getpid(), zone=settings.zone)
        self._register_gauges()
        self._handle_signals()
        await self._endpoints.listen(self._listener, self._in_flight_protocol.open)
        self._follower.updater.on_target_restarted = self._origins.handle_restart
        self._follower.start()
        loops = (
            lambda: detect_pauses(self._handle_pause, self._monitor.handle_delay),
            self._run_housekeeping,
            *self._broadcaster.list_loops(),
            self._run_rollouts,
            self._version_recorder.run,
            self._origin_store.run,
        )
        for loop in loops:
            self._background.spawn_loop(loop)
        if settings.peers is not None:
            self._background.spawn_loop(self._in_flight_protocol.run)
            self._spawn(self._crash_queries.learn_at_start())
        if settings.peer_address is not None:
            sends_from = settings.peers if settings.advertised is not None else None
            row = InstanceRow(
                settings.zone, *settings.peer_address, settings.link, settings.cores, sends_from
            )
            self._background.spawn_loop(partial(self._follower.instance_list.join, row))
        await self._stop_requested.wait()
        await self._stop()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._background.spawn(work)

    def _log(self, event: str, **fields: Any) -> None:
        self._event_log.write(event, read_clock(), **fields)

    def _register_gauges(self) -> None:
        metrics = self.state.metrics
        metrics.register_gauge("open_requests", lambda: self._requests.open_requests)
        metrics.register_gauge("store_reached", lambda: float(self._follower.is_store_reachable))
        metrics.register_gauge("reads_store", lambda: float(self._follower.reads_store))
        register_state_gauges(self.state, read_clock)

    # Housekeeping.

    def _handle_pause(self, pause_s: float, now: float) -> None:
        """Give up connections that may have died, and learn anew what may be out of date."""
        self.state.metrics.increment_counter(codes.PAUSES)
        self._log("paused", seconds=round(pause_s, 3))
        self._pool.close_all_idle()
        self._peer_pool.close_all_idle()
        self._follower.refresh()
        self.state.registry.record_gap(now)
        self.state.version_history.forget()
        self._spawn(self._crash_queries.fetch())

    async def _run_rollouts(self) -> None:
        """Take part in roll-outs from the first one that is ordered."""
        await self.state.rollout_ordered.wait()
        # Only now, since most instances never see a roll-out.
        from rhubarbbend.gateway._rollouts import RolloutRunner

        runner = RolloutRunner(self.state, self._adapter.store, self._adapter.statuses, self._peers)
        self._peer_server.on_rollout_report = runner.handle_report
        await runner.run()

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL_S)
            now = read_clock()
            self.state.crashes.expire(now)
            self.state.connection_limits.expire(now)
            self.state.reach.expire(now)
            self._origins.expire(now)
            self._starts.expire()
            self._pool.close_expired(now)
            self._peer_pool.close_expired(now)
            if now - self._settings_read_at >= SETTINGS_RELOAD_INTERVAL_S:
                self._reload_settings()

    def _reload_settings(self) -> None:
        """Read the settings again, after a signal or at an interval, and apply what changed.

        Limits take effect at once. The addresses on which this process listens and the address of
        the store cannot change while it runs; the log names the settings that need a restart.
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
        restart_only = [name for name in changed if name in RESTART_ONLY_SETTINGS]
        kept = {name: getattr(self.settings, name) for name in restart_only}
        self.settings = msgspec.structs.replace(settings, **kept)
        self.state.apply_settings(self.settings)
        self._log("reloaded", changed=changed, needs_start=restart_only or None)

    def _apply_limits(self, catalog: Catalog) -> None:
        limits = catalog.limits
        self._monitor.log_limits(catalog.version, limits)
        self._caller_server.set_limits(make_caller_limits(limits, self.settings))
        if self._peer_http is not None:
            self._peer_http.set_limits(make_peer_limits(limits, self.settings))

    # Shutdown.

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in STOP_SIGNALS:
            loop.add_signal_handler(signal_number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        release_reloads()

    async def _stop(self) -> None:
        """Shut down without interrupting a request: leave the rotation, then finish open requests.

        Readiness is withdrawn at once. Until the platform notices, new connections still arrive and
        are served; from now on every response closes its connection. Afterwards, only requests that
        end before the stop does are accepted.
        """
        stop = self._make_stop_schedule(read_clock())
        self.state.stop = stop
        self._log("stopping", open=self._count_open())
        self._caller_server.start_draining()
        if self.settings.peers is not None:
            self._spawn(self._follower.instance_list.leave())
        await asyncio.sleep(stop.late_from - stop.began_at)
        self._caller_server.stop_accepting()
        while self._count_open() and read_clock() < stop.ends_at:
            await asyncio.sleep(STOP_POLL_INTERVAL_S)
        unfinished = self._count_open()
        if not unfinished:
            # Responses that were written may still be in transit.
            try:
                async with asyncio.timeout_at(stop.ends_at):
                    await self._caller_server.finish()
            except TimeoutError:
                self._log("callers_slow")
        # Callers may still take up a stream that began since the last write and broke off.
        await self._origin_store.flush()
        self._follower.stop()
        self._log("stopped", cut=unfinished, after=round(read_clock() - stop.began_at, 3))
        self._event_log.close()
        ignore_late_stop(asyncio.get_running_loop())

    def _make_stop_schedule(self, now: float) -> StopSchedule:
        grace = self.settings.stop_grace
        late_from = now + min(READINESS_PROPAGATION_S, grace / 3)
        return StopSchedule(now, late_from, now + grace - STOP_MARGIN_S)

    def _count_open(self) -> int:
        return self._requests.open_requests + self._detours_served.open_requests


def serve(
    settings: GatewaySettings,
    adapter: Adapter,
    read_settings: SettingsReader,
    listener: socket | None = None,
) -> int:
    """Run an instance until a requested stop has completed, and return the exit status.

    `listener`, if given, is a socket that already listens on the callers' address.
    """
    event_log = EventLog(settings.instance)
    asyncio.run(Instance(settings, adapter, event_log, read_settings, listener).run())
    return 0
