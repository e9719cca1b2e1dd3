"""The runtime of one instance: the event loop around the core.

`Runtime.submit_event` passes an event to the core and carries out the returned actions at once. The
shell passes events to the core in no other way. There is one event loop on one thread, so an event
is processed completely before the next.
"""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections import deque
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, Final

import eliot

from rhubarbbend import codes
from rhubarbbend.background import BackgroundTasks
from rhubarbbend.core import Core, actions, events
from rhubarbbend.core.limits import MemoryLedger
from rhubarbbend.core.messages import Message, ReservedReply, ReservedRun
from rhubarbbend.core.requests._responses import make_peer_request_id
from rhubarbbend.http import INPUT_LOOP_ITERATIONS, ConnectionPool, HttpServer
from rhubarbbend.listening import Listen, start_listening
from rhubarbbend.operators import ChangeAnswer, OperatorServer, derive_operator_key
from rhubarbbend.peers import PeerLinks, PeerListener, TunnelOpener
from rhubarbbend.resident_size import read_resident_size
from rhubarbbend.settings import Settings, parse_address, read_operator_secret
from rhubarbbend.shell._attempts import AttemptRunner
from rhubarbbend.shell._caller_server import CallerServer
from rhubarbbend.shell._control_traffic import ControlTraffic
from rhubarbbend.shell._metrics import Metrics
from rhubarbbend.shell._open_request import OpenRequest
from rhubarbbend.shell._platform_calls import PlatformCalls
from rhubarbbend.shell._startup import (
    make_identity,
    make_server_limits,
    open_log,
    open_recorder,
)
from rhubarbbend.shell._tunnels import DetourOpener, TunnelServer
from rhubarbbend.stop_signals import STOP_SIGNALS, ignore_late_stop
from rhubarbbend.storage import PLATFORMS

PAUSE_CHECK_INTERVAL_S: Final = 0.25
# If the event loop was inactive for this much longer than the check interval, the process has been
# paused.
PAUSE_MARGIN_S: Final = 1.0
HOUSEKEEPING_INTERVAL_S: Final = 1.0


class Runtime:
    """One instance. Invariant: an event is processed completely before the next."""

    def __init__(self, settings: Settings, secret: bytes) -> None:
        self.settings = settings
        own = settings.instance
        self._identity = make_identity(settings, secret)
        seed = random.SystemRandom().getrandbits(32)
        self.core = Core(self._identity, settings.core, seed)
        self._recorder = open_recorder(settings, self.core, self._identity, seed)
        self._handle_in_core = self.core.handle if self._recorder is None else self._recorder.handle
        self.metrics = Metrics(settings.statsd, own.id)
        self._caller_server = CallerServer(settings.limits, self.submit_event, self.metrics)
        self._operator_futures: dict[str, asyncio.Future[ChangeAnswer]] = {}
        self._queue: deque[events.Event] = deque()
        self._is_processing = False
        self._last_active_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        # Whether `_timer` has expired and `TimerDue` is about to be submitted.
        self._is_timer_expired = False
        self._background = BackgroundTasks(self._report_error)
        self._exit_requested = asyncio.Event()
        fleet = self.core.context.fleet
        opener = DetourOpener(fleet, TunnelOpener(own.id, secret), self.metrics)
        self._pool = ConnectionPool(settings.limits.target_idle, opener=opener)
        self._attempts = AttemptRunner(
            self._pool, self.submit_event, settings.core.max_kept_body, self._report_error
        )
        self._platform = PLATFORMS.find(settings.platform.kind)(
            parse_address(settings.platform.address), settings.platform.timeout, own.zone
        )
        self._platform_calls = PlatformCalls(
            self._platform, self.submit_event, self._spawn, self.metrics
        )
        self._peer_links = PeerLinks(own.id, secret, self._handle_peer_lost)
        self._peer_listener = PeerListener(
            secret,
            self._handle_peer_message,
            self._count_bad_frame,
            TunnelServer(fleet, self.metrics).serve,
        )
        self._http_server = self._make_http_server()
        self._operator_server = self._make_operator_server(secret)
        self._traffic = self._make_traffic()
        self._action_handlers = self._get_action_handlers()

    def _make_http_server(self) -> HttpServer:
        limits = make_server_limits(self.settings)
        memory = MemoryLedger(self.settings.limits.memory, read_resident_size)
        return HttpServer(self._caller_server.serve, limits, memory)

    def _make_operator_server(self, secret: bytes) -> OperatorServer:
        operator_secret = read_operator_secret(self.settings.operators, secret)
        return OperatorServer(
            self.core,
            derive_operator_key(operator_secret),
            self._propose_change,
            self.submit_event,
            self._now,
        )

    def _make_traffic(self) -> ControlTraffic:
        return ControlTraffic(
            {
                codes.CONTROL_PEERS: lambda: self._peer_links.traffic + self._peer_listener.traffic,
                codes.CONTROL_PLATFORM: lambda: self._platform.traffic,
                codes.CONTROL_TARGETS: lambda: self._pool.fetch_traffic,
                codes.CONTROL_METRICS: lambda: self.metrics.traffic,
            }
        )

    async def run(self) -> None:
        """Serve until a planned stop has completed."""
        own = self.settings.instance
        loop = asyncio.get_running_loop()
        await self._start_listening(
            "peers", partial(self._peer_listener.listen, own.host, own.peer_port)
        )
        await self._start_listening(
            "operators", partial(self._operator_server.listen, own.host, own.operator_port)
        )
        self._last_active_at = self._now()
        self.submit_event(events.Started(time.time()))
        # The core cannot handle a stop before its first event; until then, the signal has its
        # default effect.
        for signal_number in STOP_SIGNALS:
            loop.add_signal_handler(
                signal_number, lambda: self.submit_event(events.StopRequested())
            )
        for seed in self.settings.seeds:
            host, port = parse_address(seed.address)
            self.submit_event(events.SeedNamed(seed.id, seed.zone, host, port))
        await self._start_listening(
            "callers", partial(self._http_server.listen, own.host, own.http_port)
        )
        eliot.log_message("instance_started", instance=own.id, zone=own.zone, pid=os.getpid())
        self._background.spawn_loop(self._run_pause_detector)
        self._background.spawn_loop(self._run_housekeeping)
        await self._exit_requested.wait()
        await self._close()

    async def _start_listening(self, use: str, listen: Listen) -> None:
        """Listen on an address, without which the instance goes on until the address is free."""

        def report_failure(error: OSError) -> None:
            self.metrics.add(codes.LISTEN_FAILURES)
            eliot.log_message("listen_failed", use=use, reason=str(error))

        await start_listening(listen, self._spawn, report_failure)

    def submit_event(self, event: events.Event) -> None:
        """Pass an event to the core and carry out its actions.

        Events submitted in the meantime are queued.
        """
        self._queue.append(event)
        self._process_queue()

    def _process_queue(self) -> None:
        """Process the queued events, after a pause of this process if there was one."""
        if self._is_processing:
            return
        self._is_processing = True
        self._detect_pause()
        try:
            while self._queue:
                self._process_event(self._queue.popleft())
        finally:
            self._is_processing = False
        self._set_timer()

    def _process_event(self, event: events.Event) -> None:
        """Pass one event to the core and carry out the returned actions; log any error.

        Otherwise an error in one decision would close the connection that delivered the event,
        and the timers of all other requests would stay unset until the next event.
        """
        try:
            for action in self._handle_in_core(event, self._now()):
                self._action_handlers[type(action)](action)
        except Exception:
            self.metrics.add(codes.INTERNAL_ERRORS)
            eliot.write_traceback()

    def _detect_pause(self) -> None:
        """If this process was paused, queue an event for the pause ahead of all other events.

        After a pause, the messages that arrived in the meantime are processed in any order. A slot
        granted from the state before the pause would add to those that a successor has granted.
        """
        now = self._now()
        pause = now - self._last_active_at
        self._last_active_at = now
        if pause > PAUSE_CHECK_INTERVAL_S + PAUSE_MARGIN_S:
            self._queue.appendleft(events.ProcessPaused(pause))

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _set_timer(self) -> None:
        if self._is_timer_expired:
            return
        due = self.core.next_timer()
        if self._timer is not None:
            if due is not None and abs(self._timer.when() - due) < 1e-4:
                return
            self._timer.cancel()
            self._timer = None
        if due is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due, self._run_timer, INPUT_LOOP_ITERATIONS)

    def _run_timer(self, iterations: int) -> None:
        """Submit `TimerDue` after some iterations of the event loop.

        An event loop that was late passes on what it has received in these. Otherwise the core
        would judge peers and targets as silent whose messages wait in this process.
        """
        self._is_timer_expired = iterations > 0
        if self._is_timer_expired:
            asyncio.get_running_loop().call_soon(self._run_timer, iterations - 1)
            return
        self._timer = None
        self.submit_event(events.TimerDue())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        self._background.spawn(work)

    def _report_error(self, task: str, error: BaseException) -> None:
        self.metrics.add(codes.INTERNAL_ERRORS)
        eliot.write_traceback(exc_info=(type(error), error, error.__traceback__))

    # Peers and operators.

    def _handle_peer_message(self, sender: str, message: Message) -> None:
        self._peer_links.record_heard(sender)
        if isinstance(message, ReservedRun):
            request = make_peer_request_id(sender, message.request)
            headers = {"content-type": message.content_type, "idempotency-key": message.key}
            path = f"/{message.service_name}{message.path}"
            self._caller_server.open_requests[request] = OpenRequest(
                request, message.method, path, headers, message.body, None
            )
            message.body = b""
        self.submit_event(events.PeerSaid(sender, message))

    def _count_bad_frame(self) -> None:
        self.metrics.add(codes.PEER_FRAMES_BAD)

    def _handle_peer_lost(self, peer: str) -> None:
        self.submit_event(events.PeerLost(peer))

    async def _propose_change(self, event: events.ChangeProposed) -> ChangeAnswer:
        future: asyncio.Future[ChangeAnswer] = asyncio.get_running_loop().create_future()
        self._operator_futures[event.op] = future
        self.submit_event(event)
        return await future

    # Actions.

    def _get_action_handlers(self) -> dict[type[actions.Action], Callable[[Any], None]]:
        return {
            **self._platform_calls.get_action_handlers(),
            actions.Refuse: self._caller_server.refuse,
            actions.Reply: self._caller_server.reply,
            actions.GiveKeys: self._caller_server.send_keys,
            actions.Dispatch: self._dispatch,
            actions.Resume: self._resume,
            actions.CutAnswer: self._caller_server.abort,
            actions.CancelAttempt: self._attempts.cancel,
            actions.Probe: self._attempts.probe,
            actions.ReadReport: self._read_report,
            actions.SendPeer: self._send_peer,
            actions.SendReserved: self._send_reserved,
            actions.AnswerOperator: self._resolve_operator_change,
            actions.SetReady: self._set_ready,
            actions.StopAccepting: lambda action: self._http_server.stop_accepting(),
            actions.Exit: lambda action: self._exit_requested.set(),
            actions.Count: lambda action: self.metrics.add(action.name, action.by),
            actions.LogState: lambda action: eliot.log_message(action.what, **action.details),
        }

    def _find_target_kind(self, target: str) -> str:
        view = self.core.context.fleet.targets.get(target)
        name = "" if view is None else view.service_name
        service = self.core.context.configuration.services.get(name)
        return "engine" if service is None else service.kind

    def _dispatch(self, action: actions.Dispatch) -> None:
        open_request = self._caller_server.open_requests.get(action.request)
        if open_request is not None:
            self._attempts.dispatch(action, open_request, self._find_target_kind(action.target))

    def _resume(self, action: actions.Resume) -> None:
        open_request = self._caller_server.open_requests.get(action.request)
        if open_request is not None:
            self._attempts.resume(action, open_request, "engine")

    def _read_report(self, action: actions.ReadReport) -> None:
        self._attempts.read_report(action, self._find_target_kind(action.target))

    def _send_peer(self, action: actions.SendPeer) -> None:
        if isinstance(action.message, ReservedReply):
            self._caller_server.open_requests.pop(
                make_peer_request_id(action.peer, action.message.request), None
            )
        self._peer_links.send(action.peer, (action.host, action.port), action.message)

    def _send_reserved(self, action: actions.SendReserved) -> None:
        message = action.message
        assert isinstance(message, ReservedRun)
        open_request = self._caller_server.open_requests.get(action.request)
        if open_request is None:
            return
        message.content_type = open_request.headers.get("content-type", "")
        message.path = open_request.path.removeprefix(f"/{message.service_name}")
        message.body = open_request.body
        self._peer_links.send(action.peer, (action.host, action.port), message)

    def _resolve_operator_change(self, action: actions.AnswerOperator) -> None:
        future = self._operator_futures.pop(action.op, None)
        if future is not None and not future.done():
            future.set_result(ChangeAnswer(action.error, action.version, action.author))

    def _set_ready(self, action: actions.SetReady) -> None:
        self._caller_server.ready = action.ready
        if not action.ready:
            self._http_server.start_draining()
        eliot.log_message("readiness", ready=action.ready)

    # Background work.

    async def _run_pause_detector(self) -> None:
        """Be active at short intervals, so that a pause shows as a gap between them."""
        while True:
            await asyncio.sleep(PAUSE_CHECK_INTERVAL_S)
            self._process_queue()

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(min(HOUSEKEEPING_INTERVAL_S, self.settings.statsd.interval))
            now = self._now()
            self._pool.close_expired(now)
            self._platform.close_expired_idle(now)
            dropped, self._peer_links.dropped = self._peer_links.dropped, 0
            if dropped:
                self.metrics.add(codes.PEER_DROPPED, dropped)
            self._traffic.record(self.metrics)
            self.metrics.send()
            if self._recorder is not None:
                self._recorder.flush()

    async def _close(self) -> None:
        if not self._caller_server.open_requests:
            # If requests are still open, the operator's time limit for a stop has passed; they are
            # aborted.
            await self._http_server.finish()
        await self._operator_server.close()
        await self._attempts.close()
        await self._peer_links.close()
        await self._peer_listener.close()
        self._background.cancel()
        self.metrics.send()
        if self._recorder is not None:
            self._recorder.close()
        eliot.log_message("instance_stopped", instance=self.settings.instance.id)
        ignore_late_stop(asyncio.get_running_loop())


def serve(settings: Settings, secret: bytes) -> int:
    """Run one instance until it is stopped; return the exit status."""
    with open_log(settings) as log:
        destination = eliot.FileDestination(file=log)
        eliot.add_destinations(destination)
        try:
            asyncio.run(_run(settings, secret))
        finally:
            eliot.remove_destination(destination)
    return 0


async def _run(settings: Settings, secret: bytes) -> None:
    await Runtime(settings, secret).run()
