"""Admission under heavy loads, simulated; each test names the load that it guards against."""

from __future__ import annotations

from random import Random

import pytest

from rhubarbbend.core.admission import _controller, _queue
from tests.core.admission.simulation import (
    ROUTES,
    SLOTS,
    Options,
    Simulation,
    compute_share,
    describe,
)

SERVED = ("in time", "late")
# Of the slots, what may wait at targets for half of the shortest objective, and a tenth more since
# the counts of other instances are 0.2 s old.
MAX_HELD_FACTOR = 1.2


def list_held(simulation: Simulation, since: float = 6.0) -> list[int]:
    """Return what targets held from the time when what was sent before the burst has ended."""
    return [n for at, n in simulation.held_by_time if since <= at < simulation.options.burst[1]]


def check_nothing_is_starved(simulation: Simulation) -> None:
    """Check that no route, account or the largest requests get less than a quarter of the rest."""
    requests = simulation.select()
    largest = sorted(requests, key=lambda r: r.tokens)[-len(requests) // 10 :]
    groups = [largest]
    groups += [simulation.select(route=route.name) for route in ROUTES]
    groups += [
        simulation.select(account=f"account-{n}") for n in range(simulation.options.accounts)
    ]
    for group in groups:
        members = {id(request) for request in group}
        rest = [request for request in requests if id(request) not in members]
        assert compute_share(group, *SERVED) >= 0.25 * compute_share(rest, *SERVED)


@pytest.mark.parametrize("instances", [6, 67, 400])
def test_a_burst_with_a_third_of_the_engines_away(instances: int) -> None:
    """2.5 times the usual demand; without admission targets hold three times their slots."""
    simulation = Simulation(Options(instances=instances)).run()
    in_time = {
        route.priority: compute_share(simulation.select(route.name), "in time") for route in ROUTES
    }
    assert in_time[0] >= max(in_time[1], in_time[2])
    check_nothing_is_starved(simulation)
    assert simulation.rejected == 0
    slots = simulation.options.targets_in_burst * SLOTS
    held = list_held(simulation)
    assert max(held) <= MAX_HELD_FACTOR * slots
    # Nor are slots left unused while callers are refused.
    assert sum(held) / len(held) >= 0.95 * slots


def test_calm_day_without_refusals() -> None:
    simulation = Simulation(Options(overload=1.0, targets_in_burst=70)).run()
    assert simulation.compute_worth() > 0.99
    assert sum(simulation.refusals.values()) <= 0.002 * len(simulation.requests)


@pytest.mark.parametrize("seed", [1, 2])
def test_one_account_at_eight_times_its_usual_load(seed: int) -> None:
    """The account bears what there is no room for; the others keep their service."""
    options = Options(
        seed=seed, overload=1.0, targets_in_burst=60, account_factors={"account-0": 8.0}
    )
    simulation = Simulation(options).run()
    flood = simulation.select(account="account-0")
    others = [r for r in simulation.select() if r.account != "account-0"]
    assert compute_share(others, *SERVED) >= 0.94
    assert compute_share(others, "in time") >= compute_share(flood, "in time") + 0.1
    check_nothing_is_starved(simulation)


def test_nine_in_ten_arrivals_at_one_instance() -> None:
    """The busy instance gets most of the room, and the callers of the others are not starved."""

    def choose(random: Random, count: int) -> int:
        return 0 if random.random() < 0.9 else random.randrange(count)

    simulation = Simulation(Options(choose_instance=choose)).run()
    busy = [r for r in simulation.select() if r.instance == 0]
    others = [r for r in simulation.select() if r.instance != 0]
    assert compute_share(busy, *SERVED) >= 0.7 * compute_share(others, *SERVED)
    assert compute_share(others, *SERVED) >= 0.7 * compute_share(busy, *SERVED)
    slots = simulation.options.targets_in_burst * SLOTS
    assert 0.95 * slots <= min(list_held(simulation)) <= max(list_held(simulation))
    assert max(list_held(simulation)) <= MAX_HELD_FACTOR * slots


def test_callers_that_retry_at_once_gain_nothing() -> None:
    """A quarter of the accounts sends each refused request again at once, up to six times."""
    storming = {f"account-{n}" for n in range(3)}
    served = {True: 0.0, False: 0.0}
    for seed in (1, 2, 3):
        options = Options(seed=seed, storming=storming, immediate_retries=0.0)
        simulation = Simulation(options).run()
        assert simulation.rejected == 0
        for storms in served:
            requests = [r for r in simulation.select() if (r.account in storming) is storms]
            served[storms] += compute_share(requests, *SERVED) / 3
    # The shares of single runs differ by up to 0.02.
    assert served[True] <= served[False] + 0.02


def test_waiting_here_serves_no_fewer_in_time_than_refusing_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The alternatives of the design note: no admission, refusing at once, a short queue."""
    worth: dict[str, float] = {}
    for name in ("none", "queue", "at once"):
        if name == "at once":
            monkeypatch.setattr(_queue, "WAIT_FRACTION", 0.0)
            monkeypatch.setattr(_queue, "URGENT_WAIT_FRACTION", 0.0)
            monkeypatch.setattr(_controller, "WAIT_FRACTION", 0.0)
        total = 0.0
        for seed in (1, 2, 3):
            simulation = Simulation(Options(seed=seed, admits=name != "none")).run()
            print(name, seed, describe(simulation))
            total += simulation.compute_worth()
        worth[name] = round(total / 3, 3)
    print(worth)
    assert worth["queue"] > worth["none"] + 0.1
    assert worth["queue"] >= worth["at once"] - 0.02
