"""Reads of the platform that a zone's instances share: few at 80, each second at 3 or alone."""

from __future__ import annotations

import pytest

from rhubarbbend.core import Core, actions, events
from rhubarbbend.core.messages import Heartbeat
from tests.core.drive import start_core

SECONDS = 60
STEP = 0.05


def _handle(core: Core, event: events.Event, now: float) -> list[actions.Action]:
    """Let a core handle an event and answer the reads that it asks for, whatever asked for them."""
    given = core.handle(event, now)
    for action in given:
        if isinstance(action, actions.ReadList):
            core.handle(events.ListRead([]), now)
        elif isinstance(action, actions.ScanRows):
            core.handle(events.RowsRead(action.op, "done"), now)
    return given


def _run(core: Core, peers: int) -> list[actions.Action]:
    """Let a minute pass in which every peer of the zone is heard and every read is answered."""
    given: list[actions.Action] = []
    for step in range(int(SECONDS / STEP)):
        now = 1.0 + step * STEP
        if step % 20 == 0:
            for n in range(peers):
                beat = Heartbeat(f"p{n}", "a", 1, host="h", peer_port=2)
                given.extend(_handle(core, events.PeerSaid(f"p{n}", beat), now))
        given.extend(_handle(core, events.TimerDue(), now))
    return given


def _count(given: list[actions.Action], kind: type[actions.Action]) -> int:
    return sum(isinstance(action, kind) for action in given)


@pytest.mark.parametrize(("peers", "least", "most"), [(0, 54, 67), (2, 45, 67), (79, 2, 5)])
def test_a_zone_shares_its_reads(peers: int, least: int, most: int) -> None:
    """A platform that serves 2,000 reads a second would spend 800 of them on 400 pollers.

    Each node would receive the list of 1,350 entries every second, several times the 27 KB that
    it may spend on control. With 4 readers a zone and interval, one of 80 reads every 20 s.
    """
    given = _run(start_core("own"), peers)
    assert least <= _count(given, actions.ReadList) <= most
    assert least <= _count(given, actions.ScanRows) <= most


def test_a_target_that_has_come_back_is_not_told_to_leave_for_ever() -> None:
    """Two instances hear from a third that a target leaves; then each reads that it has come back.

    If each passed the other's word on, the target would get no work again from either of them.
    """
    cores = [start_core(name) for name in ("one", "two")]
    target = events.Listed("t1", "target", "a", "h", 9, 0, "planner")
    told = Heartbeat("three", "a", 1, host="h", peer_port=2, leaving_targets=["t1"])
    for core, other in zip(cores, ("two", "one"), strict=True):
        core.handle(events.ListRead([target]), 1.0)
        core.handle(events.PeerSaid("three", told), 1.1)
        core.handle(events.PeerSaid(other, Heartbeat(other, "a", 1, host="h", peer_port=2)), 1.1)
        assert core.context.fleet.targets["t1"].leaving
    for step in range(4):
        index = step % 2
        reader, teller = cores[index], cores[1 - index]
        now = 2.0 + step
        reader.handle(events.ListRead([target]), now)
        # The one that has not read yet still believes the third and tells the one that has.
        for action in teller.handle(events.TimerDue(), now + 0.5):
            if isinstance(action, actions.SendPeer) and isinstance(action.message, Heartbeat):
                reader.handle(events.PeerSaid(action.message.instance, action.message), now + 0.5)
    assert [core.context.fleet.targets["t1"].leaving for core in cores] == [False, False]


def test_an_instance_that_hears_nobody_reads_each_time() -> None:
    """Cut off from its zone it learns nothing from others, so it has to read for itself."""
    core = start_core("own")
    _run(core, 79)
    given: list[actions.Action] = []
    for step in range(80):
        given.extend(_handle(core, events.TimerDue(), SECONDS + 10.0 + step / 4))
    assert _count(given, actions.ReadList) >= 16
