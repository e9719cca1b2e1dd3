"""Polls of the platform that a zone's instances share: few at 80, each second at 3 or alone."""

from __future__ import annotations

import pytest

from rhubarbbend.core import Core, actions, events
from rhubarbbend.core.messages import Heartbeat
from tests.core.core_helpers import start_core

DURATION_S = 60
STEP_S = 0.05


def _handle_and_answer_reads(core: Core, event: events.Event, now: float) -> list[actions.Action]:
    """Let a core handle an event, and answer all reads of the platform that it emits."""
    emitted = core.handle(event, now)
    for action in emitted:
        if isinstance(action, actions.ReadList):
            core.handle(events.ListRead([]), now)
        elif isinstance(action, actions.ScanRows):
            core.handle(events.RowsRead(action.op, "done"), now)
    return emitted


def _run_with_peers(core: Core, peers: int) -> list[actions.Action]:
    """Run a core for a minute with a heartbeat of each peer every second and answered reads."""
    emitted: list[actions.Action] = []
    for step in range(int(DURATION_S / STEP_S)):
        now = 1.0 + step * STEP_S
        if step % 20 == 0:
            for n in range(peers):
                heartbeat = Heartbeat(f"p{n}", "a", 1, host="h", peer_port=2)
                emitted.extend(
                    _handle_and_answer_reads(core, events.PeerSaid(f"p{n}", heartbeat), now)
                )
        emitted.extend(_handle_and_answer_reads(core, events.TimerDue(), now))
    return emitted


def _count_actions(emitted: list[actions.Action], kind: type[actions.Action]) -> int:
    return sum(isinstance(action, kind) for action in emitted)


@pytest.mark.parametrize(("peers", "least", "most"), [(0, 54, 67), (2, 45, 67), (79, 2, 5)])
def test_instances_of_a_zone_share_platform_reads(peers: int, least: int, most: int) -> None:
    """Guard against polls by every instance: 400 instances need 800 of 2,000 reads a second.

    The platform can serve 2,000 reads a second. Each node would receive the list of 1,350 entries
    every second, several times its budget of 27 KB for control traffic. With 4 readers per zone
    and interval, each of 80 instances polls every 20 s.
    """
    emitted = _run_with_peers(start_core("own"), peers)
    assert least <= _count_actions(emitted, actions.ReadList) <= most
    assert least <= _count_actions(emitted, actions.ScanRows) <= most


def test_a_returned_target_is_not_reported_as_leaving_forever() -> None:
    """A third instance reports a target as leaving; then two others read that it has come back.

    If these two repeated each other's report, neither would ever send work to the target again.
    """
    cores = [start_core(name) for name in ("one", "two")]
    target = events.Listed("t1", "target", "a", "h", 9, 0, "planner")
    heartbeat = Heartbeat("three", "a", 1, host="h", peer_port=2, leaving_targets=["t1"])
    for core, other in zip(cores, ("two", "one"), strict=True):
        core.handle(events.ListRead([target]), 1.0)
        core.handle(events.PeerSaid("three", heartbeat), 1.1)
        core.handle(events.PeerSaid(other, Heartbeat(other, "a", 1, host="h", peer_port=2)), 1.1)
        assert core.context.fleet.targets["t1"].leaving
    for step in range(4):
        index = step % 2
        reader, sender = cores[index], cores[1 - index]
        now = 2.0 + step
        reader.handle(events.ListRead([target]), now)
        # The instance that has not read the list yet still has the third one's report, and sends
        # heartbeats to the instance that has read it.
        for action in sender.handle(events.TimerDue(), now + 0.5):
            if isinstance(action, actions.SendPeer) and isinstance(action.message, Heartbeat):
                reader.handle(events.PeerSaid(action.message.instance, action.message), now + 0.5)
    assert [core.context.fleet.targets["t1"].leaving for core in cores] == [False, False]


def test_an_instance_without_heartbeats_of_peers_polls_each_time() -> None:
    """An instance cut off from its zone learns nothing from peers, so it has to poll itself."""
    core = start_core("own")
    _run_with_peers(core, 79)
    emitted: list[actions.Action] = []
    for step in range(80):
        emitted.extend(
            _handle_and_answer_reads(core, events.TimerDue(), DURATION_S + 10.0 + step / 4)
        )
    assert _count_actions(emitted, actions.ReadList) >= 16
