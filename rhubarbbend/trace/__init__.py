"""Record and replay of an instance's events, to reproduce its decisions in another process.

A recorder writes every event that the core handles to a trace file. A replay feeds these events to
a new core and compares the resulting actions with the recorded ones.
"""

from rhubarbbend.trace._format import TraceInvalid
from rhubarbbend.trace._recorder import Recorder
from rhubarbbend.trace._replay import Difference, ReplayReport, replay_trace

__all__ = ["Difference", "Recorder", "ReplayReport", "TraceInvalid", "replay_trace"]
