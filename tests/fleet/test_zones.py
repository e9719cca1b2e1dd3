"""Zones and targets taken out of service in a fleet of real processes, measured at the targets."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from loadtool import Answer, Chat, Cluster
from loadtool._cluster import Node
from tests.fleet.harness import ZONES, make_caller, run_with_timeout, start_fleet, wait_until
from tests.fleet.instance_helpers import (
    read_last_request_time,
    run_mixed_load,
    set_zone_partitioned,
)

# A target out of service may get new requests for at most this long after the change is accepted.
LAST_REQUEST_LIMIT_S = 3.0
# A cold engine falls over when it gets more than two requests at once.
COLD_OPTIONS = ("--cold-requests", "6", "--cold-bears", "2")


def list_targets(cluster: Cluster, zone: str) -> list[Node]:
    return [node for node in cluster.targets.values() if node.zone == zone]


async def wait_for_last_request(cluster: Cluster, targets: list[Node], accepted_at: float) -> float:
    """Wait until no target has got a request for `LAST_REQUEST_LIMIT_S` seconds.

    Return the seconds from `accepted_at` to the last request of any target.
    """

    async def is_quiet() -> bool:
        last_request_times = [await read_last_request_time(cluster, node) for node in targets]
        return time.time() > max([*last_request_times, accepted_at]) + LAST_REQUEST_LIMIT_S

    await wait_until("the targets get no more requests", is_quiet, 3 * LAST_REQUEST_LIMIT_S)
    return max([await read_last_request_time(cluster, node) for node in targets]) - accepted_at


def test_zone_goes_out_of_service_although_the_platform_goes_down(tmp_path: Path) -> None:
    """Zone b is taken out of service while chats run at every instance of two zones.

    The platform goes down as soon as the change is accepted, so no other instance can read it
    there. Callers see no error; after 3 s the targets of zone b get no new requests. The zone
    returns under load after its engine's cache was emptied without a sign, and the engine does not
    fall over.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, engine_options=COLD_OPTIONS) as cluster:
            assert cluster.platform is not None
            first = next(iter(cluster.instances.values()))
            out_targets = list_targets(cluster, "almaty-b")
            engine = next(node for node in out_targets if node.kind == "engine")
            caller = make_caller(cluster)
            async with run_mixed_load([caller], chats=4, commands=0) as load:
                await wait_until(
                    "requests reach zone b", lambda: _has_finished_requests(cluster, engine), 10.0
                )
                status, output = await cluster.run_command(
                    "zone", "out", "almaty-b", "--wait", "0", node=first
                )
                accepted_at = time.time()
                await cluster.set_faults(cluster.platform, outage=True)
                assert status == 0, output
                last_delay_s = await wait_for_last_request(cluster, out_targets, accepted_at)
                assert last_delay_s <= LAST_REQUEST_LIMIT_S
                await cluster.set_faults(cluster.platform, outage=False)
                await cluster.set_faults(engine, turn_cold=True)
                finished_before = (await cluster.call_admin(engine, "stats"))["finished"]
                status, output = await cluster.run_command("zone", "in", "almaty-b", node=first)
                assert status == 0 and "in force at all 4 instances" in output, output

                async def finishes_requests() -> bool:
                    stats = await cluster.call_admin(engine, "stats")
                    return bool(stats["finished"] >= finished_before + 10)

                await wait_until(
                    "the engine of zone b finishes requests again", finishes_requests, 10.0
                )
            assert (await cluster.call_admin(engine, "stats"))["fell_over"] == 0
            assert not load.failed_answers, load.failed_answers[:3]
            print(
                f"last request {last_delay_s:+.2f} s after acceptance, {len(load.answers)} answers"
            )

    run_with_timeout(work)


async def _has_finished_requests(cluster: Cluster, node: Node) -> bool:
    return bool((await cluster.call_admin(node, "stats"))["finished"] >= 4)


def test_leaving_target_gets_no_new_requests(tmp_path: Path) -> None:
    """The platform's list marks a target as leaving while long answers run there.

    Callers get those answers complete; after 3 s and the list's lag no instance sends new requests.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=2) as cluster:
            caller = make_caller(cluster)
            leaving = [node for node in list_targets(cluster, ZONES[0]) if node.kind == "engine"]
            async with run_mixed_load([caller], chats=4, commands=2) as load:
                await wait_until(
                    "requests reach the leaving target",
                    lambda: _has_finished_requests(cluster, leaving[0]),
                    10.0,
                )
                long_chats = asyncio.create_task(_send_long_chats(cluster))
                await cluster.register(*leaving, state="leaving")
                last_delay_s = await wait_for_last_request(cluster, leaving, time.time())
                assert last_delay_s <= LAST_REQUEST_LIMIT_S
                assert not (incomplete := await long_chats), incomplete
            assert not load.failed_answers, load.failed_answers[:3]
            print(f"last request {last_delay_s:+.2f} s after the list marked the target as leaving")

    run_with_timeout(work)


async def _send_long_chats(cluster: Cluster) -> list[Answer]:
    """Send chats whose answers take some seconds; return the answers that are not correct."""
    caller = make_caller(cluster)
    chats = [Chat(f"long-{n}", "camp-large") for n in range(4)]
    for chat in chats:
        chat.add_user_message("plan the whole mela")
    answers = await asyncio.gather(*(caller.send_chat(chat, 600) for chat in chats))
    return [answer for answer in answers if not answer.is_correct]


@pytest.mark.parametrize("cut_before", [0.0, 7.0])
def test_partitioned_instance_sends_no_requests_to_a_zone_out_of_service(
    tmp_path: Path, cut_before: float
) -> None:
    """Zone b is partitioned from the platform and all other instances but reaches zone a's targets.

    Zone a goes out of service, at once or some seconds later, and the instance of zone b does not
    learn of it. The instance has to ask the owner in zone a for a slot, which it cannot reach, and
    after some seconds considers all instances of zone a gone. Its callers are served by zone b
    alone.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as cluster:
            assert cluster.platform is not None
            nodes = {node.zone: node for node in cluster.instances.values()}
            await set_zone_partitioned(cluster, "almaty-b", True)
            targets = list_targets(cluster, "almaty-a")
            await cluster.set_route_faults("almaty-b", targets, blackhole=False)
            await asyncio.sleep(cut_before)
            status, output = await cluster.run_command(
                "zone", "out", "almaty-a", "--wait", "0.5", node=nodes["almaty-a"]
            )
            accepted_at = time.time()
            assert status == 0 and "in force at 1 of 2 instances; NOT at:" in output, output
            caller = make_caller(cluster)
            caller.select_instance = lambda: nodes["almaty-b"].address  # type: ignore[method-assign]
            async with run_mixed_load([caller], chats=3, commands=0) as load:
                last_delay_s = await wait_for_last_request(cluster, targets, accepted_at)
            assert last_delay_s <= LAST_REQUEST_LIMIT_S
            assert load.answers

    run_with_timeout(work)
