"""Signals that come before a program takes them, and orders to stop after it has stopped.

Imports nothing that takes time: the programs call it before they load themselves.
"""

from __future__ import annotations

import signal
import sys
from types import FrameType
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import asyncio

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNALS: Final = (signal.SIGHUP,)


def take_early_stop() -> None:
    """End the process with status 0 at SIGTERM, until the program takes the signal itself.

    Loading takes 0.3 s, and seconds on a busy machine. A process that is told to stop in that time
    would die by the signal, which looks like a planned stop that failed.
    """
    signal.signal(signal.SIGTERM, _leave)


def hold_reloads() -> None:
    """Keep SIGHUP pending until `release_reloads`; it would end a process that is still loading."""
    signal.pthread_sigmask(signal.SIG_BLOCK, RELOAD_SIGNALS)


def release_reloads() -> None:
    """Deliver SIGHUP from now on, also one that came before; a handler must be set."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, RELOAD_SIGNALS)


def ignore_late_stop(loop: asyncio.AbstractEventLoop) -> None:
    """Leave further orders to stop unheeded: nothing is left to do but to end.

    The loop gives the signals back as it closes, and one more would then end a process by the
    signal that has ended as planned. They are blocked first: between being given back and being
    ignored, a signal ends the process as well.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)
    for number in STOP_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _leave(number: int, frame: FrameType | None) -> None:
    sys.exit(0)
