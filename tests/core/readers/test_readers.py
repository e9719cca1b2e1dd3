"""Which instances read the store for a zone, and which updates they relay."""

from __future__ import annotations

import pytest

from rhubarbbend.core.readers import InstanceRow, PeerUpdateLog, ReaderSelector, list_zone_readers


def make_zone(count: int, zone: str = "a", link: float = 100.0) -> dict[str, InstanceRow]:
    return {f"{zone}-{n}": InstanceRow(zone, "h", n, link, 2.0) for n in range(count)}


@pytest.mark.parametrize(
    ("members", "readers"), [(1, 0), (4, 0), (5, 1), (16, 1), (17, 2), (85, 6)]
)
def test_a_large_zone_has_a_few_readers_and_a_small_one_none(members: int, readers: int) -> None:
    zone = make_zone(members)
    assert len(list_zone_readers(zone, "a")) == readers
    assert len(list_zone_readers({**zone, **make_zone(3, "b")}, "b")) == 0


def test_instances_with_more_bandwidth_are_readers_first() -> None:
    # Sending a configuration of 64 KB to 16 instances takes 1.5 s over a link of 10 Mbit/s, and a
    # change has to be in force within 2 s.
    zone = make_zone(20, link=10.0)
    zone["strong"] = InstanceRow("a", "h", 99, 200.0, 2.0)
    assert list_zone_readers(zone, "a")[0] == "strong"
    assert "strong" not in list_zone_readers(zone, "a", {"strong"})


def test_every_instance_but_the_readers_waits_at_a_reader() -> None:
    zone = make_zone(20)
    readers = list_zone_readers(zone, "a")
    for name in zone:
        chosen = ReaderSelector(name, "a").select_reader(zone, 0.0)
        assert chosen in readers if name not in readers else chosen is None
        assert ReaderSelector(name, "a").is_reader(zone, 0.0) == (name in readers)


def test_all_instances_select_the_same_successors_of_silent_readers() -> None:
    # Both readers of a zone crash, and their rows stay on the list. Each other instance gets no
    # answer from them. The next two find that they are readers, and the others wait at these.
    zone = make_zone(20)
    crashed = list_zone_readers(zone, "a")
    successors = list_zone_readers(zone, "a", set(crashed))
    selected: set[str | None] = set()
    for name in zone:
        if name in crashed:
            continue
        selector = ReaderSelector(name, "a")
        for reader in crashed:
            selector.record_no_answer(reader, 0.0)
        selected.add(selector.select_reader(zone, 1.0))
        assert selector.is_reader(zone, 1.0) == (name in successors)
    assert selected == {None, *successors}


def test_the_backoff_of_a_silent_reader_doubles() -> None:
    zone = make_zone(6)
    reader = list_zone_readers(zone, "a")[0]
    selector = ReaderSelector(next(name for name in zone if name != reader), "a")
    selector.record_no_answer(reader, 0.0)
    assert selector.select_reader(zone, 1.9) != reader
    assert selector.select_reader(zone, 2.1) == reader
    selector.record_no_answer(reader, 2.1)
    assert selector.select_reader(zone, 6.0) != reader
    selector.record_answer(reader)
    assert selector.select_reader(zone, 6.0) == reader


def test_relays_are_readers_of_large_zones_and_all_instances_of_small_ones() -> None:
    everyone = {**make_zone(20, "a"), **make_zone(20, "b"), **make_zone(3, "c")}
    relays = ReaderSelector("a-0", "a").list_relays(everyone, 0.0)
    by_zone = {zone: sum(name.startswith(zone) for name in relays) for zone in "abc"}
    assert by_zone["b"] == 2 and by_zone["c"] == 3
    assert "a-0" not in relays


def test_an_instance_that_makes_its_zone_large_notifies_all_of_it() -> None:
    # Four instances read the store for themselves and wait at no reader. The fifth makes the zone
    # large enough for a reader. If it notified only that one, the others would not learn of it.
    zone = make_zone(5)
    others = {name: row for name, row in zone.items() if name != "a-4"}
    assert sorted(ReaderSelector("a-4", "a").list_relays(others, 0.0)) == sorted(others)


def make_fleet(*sizes: int) -> dict[str, InstanceRow]:
    zones = zip("abcdefgh", sizes, strict=False)
    return {name: row for zone, size in zones for name, row in make_zone(size, zone).items()}


def list_all_readers(fleet: dict[str, InstanceRow]) -> set[str]:
    return {
        name for name, row in fleet.items() if ReaderSelector(name, row.zone).is_reader(fleet, 0)
    }


@pytest.mark.parametrize(
    ("sizes", "readers"),
    [
        ((2, 2, 2), 0),
        ((4, 4, 3), 0),
        ((4, 4, 4), 2),
        ((4, 4, 4, 3, 4), 2),
        ((4,) * 9, 3),
        ((1,) * 40, 3),
        ((6, 4, 4, 4), 3),
        ((20, 3, 3), 2),
    ],
)
def test_small_zones_share_readers_once_they_are_large_together(
    sizes: tuple[int, ...], readers: int
) -> None:
    # With nineteen instances in five zones, no zone was large, so each instance read the store for
    # itself and a change completed nineteen calls. That cost a quarter of the fleet's worth.
    fleet = {
        f"{zone}-{n}": InstanceRow(f"zone-{zone}", "h", n, 100.0, 2.0)
        for zone, size in enumerate(sizes)
        for n in range(size)
    }
    assert len(list_all_readers(fleet)) == readers


def test_readers_shared_by_small_zones_are_in_different_zones() -> None:
    # The loss of a zone must take only one of the two readers.
    fleet = make_fleet(4, 4, 4, 3, 4)
    assert len({fleet[name].zone for name in list_all_readers(fleet)}) == 2


def test_an_instance_waits_at_the_reader_of_its_own_zone_if_there_is_one() -> None:
    # Traffic between zones is charged.
    fleet = make_fleet(4, 4, 4, 3, 4)
    reader_of_zone = {fleet[name].zone: name for name in list_all_readers(fleet)}
    assert reader_of_zone
    for name, row in fleet.items():
        chosen = ReaderSelector(name, row.zone).select_reader(fleet, 0.0)
        if row.zone in reader_of_zone and name != reader_of_zone[row.zone]:
            assert chosen == reader_of_zone[row.zone]


def test_a_partitioned_small_zone_finds_a_reader_of_its_own() -> None:
    # No instance beyond the partition answers. Querying the sixteen instances of the other zones
    # one by one would take longer than the partition, so one silent instance counts for its zone.
    fleet = make_fleet(4, 4, 4, 3, 4)
    for name in ("d-0", "d-1", "d-2"):
        selector = ReaderSelector(name, "d")
        asked = 0
        while (chosen := selector.select_reader(fleet, 1.0)) is not None and fleet[
            chosen
        ].zone != "d":
            selector.record_no_answer(chosen, 1.0)
            asked += 1
        assert asked <= 4
        assert chosen is None or chosen.startswith("d")


def test_relays_of_small_zones_are_their_shared_readers() -> None:
    fleet = make_fleet(20, 4, 4, 4)
    relays = ReaderSelector("a-0", "a").list_relays(fleet, 0.0)
    assert len([name for name in relays if not name.startswith("a")]) == 2


def test_items_after_a_position_are_listed_once_and_in_order() -> None:
    log: PeerUpdateLog[str] = PeerUpdateLog()
    begin = log.list_after(None)
    assert begin.items == [] and begin.position == 0
    for item in "xyz":
        log.add(item)
    assert log.list_after(begin.position).items == ["x", "y", "z"]
    assert log.list_after(2).items == ["z"]
    assert log.list_after(3).items == []
    # A listener that comes from another instance's log starts at the end of this one.
    assert log.list_after(99).items == []


def test_a_listener_that_is_far_behind_gets_the_items_that_are_kept() -> None:
    log: PeerUpdateLog[int] = PeerUpdateLog()
    for item in range(2_500):
        log.add(item)
    page = log.list_after(10)
    assert page.items == list(range(1_500, 2_500)) and page.position == 2_500
