"""Tells the other instances of losses under requests and of what was found out about them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final

from rhubarbbend.gateway._peer_updates import (
    Completion,
    CrashFindings,
    LossReport,
    PeerUpdate,
    TargetMet,
)
from rhubarbbend.gateway._peers import PeerClient

# News that are not urgent are sent together, once in this time.
MIN_INTERVAL_S: Final = 0.1

Spawn = Callable[[Coroutine[Any, Any, None]], None]


class CrashNews:
    """News that were not sent yet. Invariant: each is sent once, within `MIN_INTERVAL_S`."""

    def __init__(self, peers: PeerClient, spawn: Spawn) -> None:
        self._peers = peers
        self._spawn = spawn
        self._losses: list[tuple[LossReport, float]] = []
        self._met: list[tuple[TargetMet, float]] = []
        self._completed: list[tuple[Completion, float]] = []
        self._sent_at = 0.0
        self._timer: asyncio.TimerHandle | None = None
        # Whether they are sent as soon as all that was lost at this moment is known.
        self._is_urgent = False

    def tell_loss(self, report: LossReport, is_urgent: bool, now: float) -> None:
        """Tell of a loss that was found just now; at once if it is urgent."""
        self._losses.append((report, now))
        self._send_soon(is_urgent, now)

    def tell_met(self, target: str, at: float, now: float) -> None:
        """Tell that a lost target was running at a time."""
        self._met.append((TargetMet(target, now - at), now))
        self._send_soon(False, now)

    def tell_completion(self, cause: str, at: float, now: float) -> None:
        """Tell that a request with a cause of losses ran at a time, as in `Completion`."""
        self._completed.append((Completion(cause, now - at), now))
        self._send_soon(False, now)

    def tell_end(self, target: str) -> None:
        """Tell at once that a lost target has ended."""
        self._broadcast(PeerUpdate(findings=CrashFindings(ended=[target]), is_urgent=True))

    def tell_unreachable(self, target: str) -> None:
        """Tell at once the id of a target that accepts no connection, though others do."""
        self._broadcast(PeerUpdate(findings=CrashFindings(unreachable=[target])))

    def _send_soon(self, is_urgent: bool, now: float) -> None:
        loop = asyncio.get_running_loop()
        due_at = self._sent_at + MIN_INTERVAL_S
        if self._is_urgent:
            return
        if is_urgent or now >= due_at:
            self._is_urgent = is_urgent
            loop.call_soon(self._send)
        elif self._timer is None:
            self._timer = loop.call_at(due_at, self._send)

    def _send(self) -> None:
        now = asyncio.get_running_loop().time()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        is_urgent, self._is_urgent = self._is_urgent, False
        if not (self._losses or self._met or self._completed):
            return
        self._sent_at = now
        losses = [loss.add_age(now - at) for loss, at in self._losses]
        met = [TargetMet(item.target, item.age + now - at) for item, at in self._met]
        completed = [Completion(item.cause, item.age + now - at) for item, at in self._completed]
        findings = CrashFindings(met=met, completed=completed) if met or completed else None
        self._losses, self._met, self._completed = [], [], []
        self._broadcast(PeerUpdate(crashes=losses, findings=findings, is_urgent=is_urgent))

    def _broadcast(self, update: PeerUpdate) -> None:
        self._spawn(self._peers.broadcast(update))
