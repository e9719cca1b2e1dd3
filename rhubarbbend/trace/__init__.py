"""Record and replay: the events of an instance in a file, fed to a fresh core again."""

from rhubarbbend.trace._format import TraceInvalid
from rhubarbbend.trace._recorder import Recorder
from rhubarbbend.trace._replay import Difference, ReplayReport, replay_trace

__all__ = ["Difference", "Recorder", "ReplayReport", "TraceInvalid", "replay_trace"]
