"""Tests of target ownership and load sums, as computed from the views of one instance."""

from __future__ import annotations

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from rhubarbbend.core._fleet import Fleet, InstanceView, LoadSum, TargetView, ZoneSums
from rhubarbbend.core.configuration import Configuration, Service

ZONES = ["almaty-a", "almaty-b", "almaty-c"]
SILENCE_TIMEOUT_S = 3.0


def make_fleet(own: str, members: list[tuple[str, str]], targets: int = 30) -> Fleet:
    zones = dict(members)
    fleet = Fleet(own, zones[own], SILENCE_TIMEOUT_S)
    for name, zone in members:
        fleet.instances[name] = InstanceView(name, zone, "h", 1, listed=True)
    for number in range(targets):
        zone = ZONES[number % 3]
        fleet.add_target(TargetView(f"engine-{number}", "planner", zone, "h", 1))
    fleet.refresh_live(0.0)
    return fleet


def list_owners(fleet: Fleet) -> dict[str, str]:
    return {name: fleet.find_owner(view) for name, view in fleet.targets.items()}


MEMBERS = st.lists(st.sampled_from(ZONES), min_size=1, max_size=12).map(
    lambda zones: [(f"entry-{number}", zone) for number, zone in enumerate(zones)]
)


@given(members=MEMBERS, random=st.randoms(use_true_random=False))
def test_instances_with_equal_lists_compute_the_same_owners(
    members: list[tuple[str, str]], random: Random
) -> None:
    zones = dict(members)
    first = list_owners(make_fleet(members[0][0], members))
    other = list(members)
    random.shuffle(other)
    assert list_owners(make_fleet(other[0][0], other)) == first
    for target, owner in first.items():
        zone = ZONES[int(target.rpartition("-")[2]) % 3]
        assert zones[owner] == zone or zone not in zones.values()


@given(members=MEMBERS, data=st.data())
def test_only_targets_of_a_leaving_instance_change_owner(
    members: list[tuple[str, str]], data: st.DataObject
) -> None:
    own, own_zone = members[0]
    fleet = make_fleet(own, members)
    before = list_owners(fleet)
    leaving_instance = data.draw(st.sampled_from([name for name, _ in members]))
    if leaving_instance == own:
        return
    fleet.instances[leaving_instance].listed_leaving = True
    assert fleet.refresh_live(1.0)
    after = list_owners(fleet)
    is_only_instance_of_zone = [zone for _, zone in members].count(
        dict(members)[leaving_instance]
    ) == 1
    for target, owner in before.items():
        assert after[target] != leaving_instance
        if owner != leaving_instance and not is_only_instance_of_zone:
            assert after[target] == owner
    # Cached owners equal those that a new fleet computes.
    remaining = [member for member in members if member[0] != leaving_instance]
    assert after == list_owners(make_fleet(own, remaining))
    fleet.instances[leaving_instance].listed_leaving = False
    assert fleet.refresh_live(2.0)
    assert list_owners(fleet) == before


@given(
    changes=st.lists(
        st.tuples(st.integers(0, 29), st.integers(0, 9), st.booleans(), st.booleans()), max_size=60
    )
)
def test_incremental_sums_equal_a_full_recomputation(
    changes: list[tuple[int, int, bool, bool]],
) -> None:
    fleet = make_fleet("entry-0", [("entry-0", ZONES[0])])
    configuration = Configuration()
    for number, load, ready, leaving in changes:
        view = fleet.targets.get(f"engine-{number}")
        if view is None:
            continue
        view.load, view.ready, view.leaving, view.updated = load, ready, leaving, 1.0
        fleet.update_load_sums(view, configuration)
        if load == 9:
            fleet.remove_target(view.id)
    ready_views = [
        v for v in fleet.targets.values() if v.ready and not v.leaving and v.updated >= 0
    ]
    expected = (sum(view.load for view in ready_views), len(ready_views))
    assert fleet.compute_total_load(Service(name="planner"), configuration) == expected


def test_sums_of_a_silent_zone_expire() -> None:
    # Zone b is partitioned while its load is high. If its last sums did not expire, they would keep
    # the mean load too high, and with it the limit of every target here.
    fleet = make_fleet("entry-0", [("entry-0", ZONES[0])])
    configuration = Configuration()
    fleet.zone_sums[ZONES[1]] = ZoneSums(10.0, {"planner": LoadSum(900, 10)})
    assert fleet.compute_total_load(Service(name="planner"), configuration) == (900, 10)
    fleet.expire_loads(configuration, oldest=9.0)
    assert fleet.compute_total_load(Service(name="planner"), configuration) == (900, 10)
    fleet.expire_loads(configuration, oldest=11.0)
    assert fleet.compute_total_load(Service(name="planner"), configuration) == (0, 0)


def test_unreachable_instance_of_another_zone_owns_its_targets_until_the_timeout() -> None:
    members = [("entry-0", ZONES[0]), ("entry-1", ZONES[1]), ("entry-2", ZONES[2])]
    fleet = make_fleet("entry-0", members)
    target = next(view for view in fleet.targets.values() if view.zone == ZONES[1])
    fleet.instances["entry-1"].unreachable_since = 1.0
    assert not fleet.refresh_live(2.0)
    assert fleet.find_owner(target) == "entry-1"
    assert not fleet.is_reachable("entry-1")
    assert fleet.refresh_live(1.0 + SILENCE_TIMEOUT_S + 0.1)
    assert fleet.find_owner(target) == "entry-2"
