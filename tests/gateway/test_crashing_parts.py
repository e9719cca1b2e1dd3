"""One part of many different prompts crashes each engine that answers on it."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from tests.gateway.harness import GatewayFleet, run, start_fleet
from tests.gateway.part_traffic import (
    MakePrompt,
    PartTraffic,
    list_crash_times,
    list_run_times,
    put_deep,
    put_first,
    put_in_the_middle,
)

# From the users' rules on parts of prompts that crash engines.
CONTACT_S = 3.0
MAX_LATE_RUNS = 3
CRASHES_BEFORE_BOUND = 5
# Stricter than the rules, which allow any number until the fifth crash is `CONTACT_S` ago.
MAX_CRASHES = 5
BAD = "bad0"
DURATION_S = 9.0


def count_late_runs(fleet: GatewayFleet) -> int:
    """Return how many requests with the part ran later than `CONTACT_S` after the fifth crash."""
    crashes = list_crash_times(fleet)
    if len(crashes) < CRASHES_BEFORE_BOUND:
        return 0
    bound = crashes[CRASHES_BEFORE_BOUND - 1] + CONTACT_S
    return sum(at > bound for at in list_run_times(fleet))


async def set_crashes(fleet: GatewayFleet, parts: list[str], **faults: Any) -> None:
    """Have all engines, and those that follow, crash as they begin to write on one of the parts."""
    defaults = {"crash_after_events": 0, "crash_delay": 0.1, **faults}
    await fleet.set_default_worker_faults(crash_on_parts=parts, **defaults)


# Guards against crashes whose cause is a part of the prompt: no two of the requests are equal.
@pytest.mark.parametrize(
    ("path", "make_prompt", "events"),
    [
        ("/plan/stream", put_in_the_middle, 0),
        ("/chat/stream", put_in_the_middle, 0),
        ("/plan/stream", put_first, 0),
        ("/chat/stream", put_deep, 1),
        ("/plan/stream", put_in_the_middle, -1),
    ],
)
def test_a_part_that_crashes_engines_is_refused(
    tmp_path: Path, path: str, make_prompt: MakePrompt, events: int
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=1, engine_worker_count=12
        ) as fleet:
            await set_crashes(fleet, [BAD], crash_after_events=events)
            traffic = PartTraffic(fleet, [BAD], make_prompt)
            await traffic.run(path, DURATION_S)
            assert count_late_runs(fleet) <= MAX_LATE_RUNS
            assert len(list_crash_times(fleet)) <= MAX_CRASHES
            assert not [sending for sending in traffic.list_sound() if sending.is_refused]

    run(work)


# Guards against refusing an account or a first part instead of the part that crashes engines.
def test_sound_requests_with_the_same_first_part_go_on(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=1, engine_worker_count=9
        ) as fleet:
            await set_crashes(fleet, [BAD])
            traffic = PartTraffic(fleet, [BAD], put_in_the_middle, seed=2)
            await traffic.run("/plan/stream", DURATION_S, rate=16.0, share=0.3)
            later = traffic.list_sound(since=len(traffic.sendings) // 2)
            served = sum(sending.is_served for sending in later)
            assert served >= 0.95 * len(later), (served, len(later))

    run(work)


# Guards against several requests with the part that are under way before the first loss is known.
def test_requests_with_the_part_at_the_same_time_crash_few_engines(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=1, engine_worker_count=12
        ) as fleet:
            await set_crashes(fleet, [BAD])
            traffic = PartTraffic(fleet, [BAD], put_in_the_middle)
            replacing = asyncio.create_task(traffic.replace_crashed())
            for _ in range(8):
                sendings = [traffic.send("/chat/stream", BAD, f"front-{n}") for n in range(3)]
                sendings.append(traffic.send("/chat/stream", traffic.sound, "front-0"))
                await asyncio.gather(*sendings)
                await asyncio.sleep(0.3)
            replacing.cancel()
            # Three at once crash three engines, and each is resumed by the fleet once.
            assert len(list_crash_times(fleet)) <= 2 * 3
            assert count_late_runs(fleet) <= MAX_LATE_RUNS
            assert not [sending for sending in traffic.list_sound() if sending.is_refused]

    run(work)


# Guards against two such parts, of which each makes the crashes of the other doubtful.
def test_two_parts_that_crash_engines_are_both_refused(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=1, engine_worker_count=12
        ) as fleet:
            parts = [BAD, "bad1"]
            await set_crashes(fleet, parts)
            traffic = PartTraffic(fleet, parts, put_in_the_middle, seed=3)
            await traffic.run("/plan/stream", DURATION_S)
            assert len(list_crash_times(fleet)) <= 2 * MAX_CRASHES
            late = [s for s in traffic.sendings[-20:] if s.part in parts and not s.is_refused]
            assert not late
            assert not [sending for sending in traffic.list_sound() if sending.is_refused]

    run(work)


# Guards against instances that have just started and know nothing of the part.
def test_an_instance_that_joins_refuses_the_part(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=1, engine_worker_count=12
        ) as fleet:
            await set_crashes(fleet, [BAD])
            traffic = PartTraffic(fleet, [BAD], put_in_the_middle)
            for number in range(6):
                await traffic.send("/plan/stream", BAD, f"front-{number % 2}")
                await traffic.send("/plan/stream", traffic.sound, f"front-{number % 2}")
                await asyncio.sleep(0.2)
            before = len(list_run_times(fleet))
            await fleet.add_instance("front-2", "zone-c")
            await fleet.start_instance("front-2")
            await fleet.wait_ready("front-2")
            for _ in range(4):
                await traffic.send("/plan/stream", BAD, "front-2")
            assert len(list_run_times(fleet)) == before <= MAX_CRASHES
            await traffic.send("/plan/stream", traffic.sound, "front-2")
            assert traffic.sendings[-1].is_served

    run(work)


# Guards against requests that another instance sends on, whose parts it has to know.
def test_a_part_is_refused_behind_an_instance_without_links(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=1, own_links=True, engine_worker_count=9
        ) as fleet:
            await set_crashes(fleet, [BAD])
            await fleet.set_link_faults("front-0", listening="closed", cut=True)
            traffic = PartTraffic(fleet, [BAD], put_in_the_middle, seed=4)
            await traffic.run("/plan/stream", DURATION_S, rate=8.0, instances=["front-0"])
            assert len(list_crash_times(fleet)) <= MAX_CRASHES
            later = traffic.list_sound(since=len(traffic.sendings) // 2)
            served = sum(sending.is_served for sending in later)
            assert served >= 0.9 * len(later), (served, len(later))

    run(work)
