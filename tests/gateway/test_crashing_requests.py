"""A request that crashes each worker that runs it, and the sound requests around it."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import pytest

from tests.gateway.harness import GatewayFleet, Reply, run, start_fleet

# From the rule on requests that crash the workers that run them.
CONTACT_S = 3.0
MAX_LATE_ARRIVALS = 3
# Stricter than the rule: the third crash may overtake the notice of the second.
MAX_CRASHES = 3
POISON = b"poison"
RESET_LINKS: dict[str, Any] = {"listening": "closed", "cut": True}
NO_CUT: dict[str, Any] = {"listening": "open"}


def list_crash_times(fleet: GatewayFleet) -> list[float]:
    """Return when requests arrived that crashed a worker, in order."""
    return sorted(arrival.at for arrival in fleet.read_arrivals() if arrival.crashes)


def count_late_arrivals(fleet: GatewayFleet) -> int:
    """Return how many requests ran later than `CONTACT_S` after the third crash."""
    times = list_crash_times(fleet)
    return sum(at > times[2] + CONTACT_S for at in times[3:])


async def repeat(fleet: GatewayFleet, path: str, count: int, pause_s: float = 0.0) -> list[Reply]:
    """Send the crashing request to one instance after the other, each time after the answer."""
    replies: list[Reply] = []
    for number in range(count):
        name = f"front-{number % len(fleet.instances)}"
        replies.append(await fleet.send_request(path, POISON, instance=name))
        await asyncio.sleep(pause_s)
    return replies


def read_events(fleet: GatewayFleet, event: str) -> list[dict[str, Any]]:
    """Return the log lines of an event from all instances."""
    return [
        line for name in fleet.instances for line in fleet.read_log(name) if line["event"] == event
    ]


# Guards against retries of our own that hide the crash before them.
def test_a_read_that_crashes_workers_is_not_retried_for_ever(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=24, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", crash_on="poison")
            await repeat(fleet, "/read/x", 11, 0.5)
            assert count_late_arrivals(fleet) <= MAX_LATE_ARRIVALS
            assert len(list_crash_times(fleet)) <= MAX_CRASHES

    run(work)


# Guards against repeats without a pause, which were taken for losses of the network.
@pytest.mark.parametrize("path", ["/book/x", "/read/x", "/plan/stream", "/chat/stream"])
def test_a_request_that_is_repeated_at_once_crashes_few_workers(tmp_path: Path, path: str) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=12, engine_worker_count=12
        ) as fleet:
            await fleet.set_service_faults("plain", crash_on="poison")
            await fleet.set_service_faults("llm", crash_on="poison")
            replies = await repeat(fleet, path, 10)
            assert len(list_crash_times(fleet)) <= MAX_CRASHES
            assert replies[-1].status == 503
            assert (await fleet.send_request(path, b"sound")).status == 200

    run(work)


# Guards against crashes that leave no count since the answer had begun.
@pytest.mark.parametrize("path", ["/plan/stream", "/chat/stream"])
@pytest.mark.parametrize("events", [0, 2])
def test_a_stream_that_crashes_engines_after_its_head_is_refused(
    tmp_path: Path, path: str, events: int
) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=1, engine_worker_count=12
        ) as fleet:
            await fleet.set_service_faults("llm", crash_on="poison", crash_after_events=events)
            await repeat(fleet, path, 8, 0.2)
            assert len(list_crash_times(fleet)) <= MAX_CRASHES
            assert (await fleet.send_request(path, b"sound")).status == 200

    run(work)


# Guards against a worker that is back at once, under a new id, and looks as if it had never ended.
def test_a_worker_that_is_back_at_once_has_crashed(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=12, engine_worker_count=1
        ) as fleet:
            for name in list(fleet.workers):
                reborn = f"{name}-again"
                await fleet.set_worker_faults(name, crash_on="poison", reborn_as=reborn)
            await repeat(fleet, "/book/x", 8, 0.1)
            assert len(list_crash_times(fleet)) <= MAX_CRASHES

    run(work)


# Guards against a worker that starts again under its id, and answers for the one that crashed.
def test_a_worker_that_is_back_under_its_id_has_crashed(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=8, engine_worker_count=1
        ) as fleet:
            for name in list(fleet.workers):
                await fleet.set_worker_faults(name, crash_on="poison", reborn_as=name)
            for number in range(8):
                await repeat(fleet, "/book/x", 1)
                crashed = max(fleet.read_arrivals(), key=lambda arrival: arrival.at).worker
                await fleet.register_worker(crashed, born=2 + number)
                await asyncio.sleep(0.4)
            assert len(list_crash_times(fleet)) <= MAX_CRASHES

    run(work)


# Guards against refusing requests for connections that a full worker resets.
def test_connections_that_a_full_worker_resets_are_not_crashes(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=2, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", delay=0.1, max_connections=3)
            replies: list[asyncio.Task[Reply]] = []
            for number in range(80):
                path, body = ("/book/x", b"b") if number % 2 else ("/read/x", b"r")
                sending = fleet.send_request(path, body, f"front-{number // 2 % 2}")
                replies.append(asyncio.create_task(sending))
                await asyncio.sleep(0.02)
            answers = [await reply for reply in replies]
            assert not any(b"crashes_targets" in answer.body for answer in answers)
            assert any(answer.status == 200 for answer in answers[-10:])
            assert read_events(fleet, "target_full")
            assert not read_events(fleet, "crash_counted")

    run(work)


# Guards against asking too late: a worker that has started again under its id cannot be told from
# one that never ended.
def test_it_is_found_out_at_once_that_a_worker_has_ended(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=4, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", crash_on="poison")
            await repeat(fleet, "/book/x", 1)
            await asyncio.sleep(1.0)
            counted = read_events(fleet, "crash_counted")
            assert [line["crashes"] for line in counted] == [1]
            assert counted[0]["contacts"].count("refused") >= 2

    run(work)


# Guards against paths that accept connections for workers that are gone.
def test_crashes_count_behind_a_path_that_accepts_connections(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=12, own_links=True, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", crash_on="poison")
            await repeat(fleet, "/book/x", 8, 0.1)
            assert len(list_crash_times(fleet)) <= MAX_CRASHES

    run(work)


# Guards against instances that join after the crashes and know nothing of them.
def test_an_instance_that_joins_refuses_what_crashed_workers_before(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=12, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", crash_on="poison")
            await repeat(fleet, "/book/x", 6, 0.3)
            before = len(list_crash_times(fleet))
            await fleet.add_instance("front-2", "zone-c")
            await fleet.start_instance("front-2")
            await fleet.wait_ready("front-2")
            for _ in range(4):
                await fleet.send_request("/book/x", POISON, instance="front-2")
            assert len(list_crash_times(fleet)) == before <= MAX_CRASHES

    run(work)


# Guards against an instance that takes not having been told of crashes for there being none, since
# it asked the others only once the store had taken its row (BUDGET).
def test_an_instance_that_starts_while_the_store_is_silent_knows_of_crashes(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=12, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", crash_on="poison")
            await repeat(fleet, "/book/x", 6, 0.3)
            before = len(list_crash_times(fleet))
            await fleet.add_instance("front-2", "zone-c")
            await fleet.set_store_faults(silent=True)
            await fleet.start_instance("front-2")
            await fleet.wait_ready("front-2")
            for _ in range(4):
                await fleet.send_request("/book/x", POISON, instance="front-2")
            assert len(list_crash_times(fleet)) == before <= MAX_CRASHES

    run(work)


# Guards against several such requests, each of which made the crashes of the others look doubtful.
def test_several_requests_that_crash_workers_are_each_refused(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, plain_worker_count=24, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", crash_on="poison")

            async def send(number: int) -> None:
                for attempt in range(6):
                    name = f"front-{(number + attempt) % 3}"
                    await fleet.send_request("/book/x", b"poison %d" % number, instance=name)
                    await asyncio.sleep(0.05)

            await asyncio.gather(*(send(number) for number in range(3)))
            assert len(list_crash_times(fleet)) <= 3 * MAX_CRASHES

    run(work)


# Guards against refusing a request that many callers send, for crashes of something else.
def test_a_popular_request_is_not_refused_for_crashes_beside_it(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=12, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", delay=0.15, crash_on="poison")
            replies: list[asyncio.Task[Reply]] = []
            for number in range(80):
                name = f"front-{number % 2}"
                sending = fleet.send_request("/read/popular", b"popular", instance=name)
                replies.append(asyncio.create_task(sending))
                if number % 10 == 5:
                    victim = f"plain-{number // 10}"
                    await fleet.workers[victim].process.kill()
                    del fleet.workers[victim]
                await asyncio.sleep(0.03)
            statuses = [(await reply).status for reply in replies]
            assert statuses.count(200) >= 78, statuses
            assert 503 not in statuses[-20:]

    run(work)


# Guards against refusing a request that ran beside the same crashing request twice.
def test_requests_that_run_beside_a_crash_twice_are_not_refused(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=8, engine_worker_count=2
        ) as fleet:
            await fleet.set_service_faults("llm", delay=0.3, crash_on="poison")
            sound = [
                asyncio.create_task(fleet.send_request("/chat/stream", b"sound %d" % n))
                for n in range(6)
            ]
            await asyncio.sleep(0.1)
            await fleet.send_request("/chat/stream", POISON, instance="front-1")
            await asyncio.gather(*sound)
            for number in range(2):
                await fleet.start_worker(f"engine-new-{number}", "llm", "zone-a")
            await asyncio.sleep(0.5)
            again = [
                await fleet.send_request("/chat/stream", b"sound %d" % n, f"front-{n % 2}")
                for n in range(6)
            ]
            assert [reply.status for reply in again] == [200] * 6

    run(work)


# Guards against taking links that are lost again and again for crashes under a request.
def test_links_that_flap_under_a_request_are_not_crashes(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, zones=1, plain_worker_count=4, own_links=True
        ) as fleet:
            await fleet.set_service_faults("plain", delay=0.3)
            for _ in range(4):
                sending = asyncio.create_task(fleet.send_request("/book/x", b"slow", "front-0"))
                await asyncio.sleep(0.15)
                await fleet.set_link_faults("front-0", **RESET_LINKS)
                await sending
                await fleet.set_link_faults("front-0", **NO_CUT)
                await asyncio.sleep(0.7)
            await fleet.set_service_faults("plain", delay=0.0)
            assert (await fleet.send_request("/book/x", b"slow", "front-0")).status == 200
            assert (await fleet.send_request("/book/x", b"slow", "front-1")).status == 200

    run(work)
