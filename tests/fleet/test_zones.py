"""Zones and targets out of service with real processes, measured at the targets."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from loadtool import Answer, Chat, Cluster
from loadtool._cluster import Node
from tests.fleet.harness import ZONES, make_caller, run, start_fleet, wait_until
from tests.fleet.views import keep_loaded, read_last_request, set_cut

# No new work may come later than this after the change was accepted.
LIMIT = 3.0
# Engines that fall over when a cold one gets more than two requests at once.
COLD = ("--cold-requests", "6", "--cold-bears", "2")


def list_targets(cluster: Cluster, zone: str) -> list[Node]:
    return [node for node in cluster.targets.values() if node.zone == zone]


async def watch_last(cluster: Cluster, targets: list[Node], since: float) -> float:
    """Wait until no target has had work for `LIMIT` seconds; gives when the last had it."""

    async def quiet() -> bool:
        last = [await read_last_request(cluster, node) for node in targets]
        return time.time() > max([*last, since]) + LIMIT

    await wait_until("the targets get no more work", quiet, 3 * LIMIT)
    return max([await read_last_request(cluster, node) for node in targets]) - since


def test_a_zone_goes_out_although_the_platform_goes_down(tmp_path: Path) -> None:
    """Operators take zone b out while chats and bookings go on at every instance of two zones.

    The platform goes down as soon as the change is accepted, so no other instance can read it
    there. Callers see no error; the targets of zone b get no new work after 3 s. The zone comes
    back under load after its engines were emptied without a sign, and none of them falls over.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, engine_options=COLD) as cluster:
            assert cluster.platform is not None
            first = next(iter(cluster.instances.values()))
            out = list_targets(cluster, "almaty-b")
            engine = next(node for node in out if node.kind == "engine")
            caller = make_caller(cluster)
            async with keep_loaded([caller], chats=4, commands=0) as load:
                await wait_until("work reaches zone b", lambda: _works(cluster, engine), 10.0)
                status, output = await cluster.run_command(
                    "zone", "out", "almaty-b", "--wait", "0", node=first
                )
                accepted = time.time()
                await cluster.set_faults(cluster.platform, outage=True)
                assert status == 0, output
                last = await watch_last(cluster, out, accepted)
                assert last <= LIMIT
                await cluster.set_faults(cluster.platform, outage=False)
                await cluster.set_faults(engine, turn_cold=True)
                before = (await cluster.ask_admin(engine, "stats"))["finished"]
                status, output = await cluster.run_command("zone", "in", "almaty-b", node=first)
                assert status == 0 and "in force at all 4 instances" in output, output

                async def refilled() -> bool:
                    stats = await cluster.ask_admin(engine, "stats")
                    return bool(stats["finished"] >= before + 10)

                await wait_until("zone b is refilled", refilled, 10.0)
            assert (await cluster.ask_admin(engine, "stats"))["fell_over"] == 0
            assert not load.bad, load.bad[:3]
            print(f"last request {last:+.2f} s after acceptance, {len(load.answers)} answers")

    run(work)


async def _works(cluster: Cluster, node: Node) -> bool:
    return bool((await cluster.ask_admin(node, "stats"))["finished"] >= 4)


def test_a_leaving_target_gets_no_new_work(tmp_path: Path) -> None:
    """The platform's list says that a target leaves, while long answers run there.

    Callers get those answers whole; after 3 s and the list's lag no instance brings new work.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=2) as cluster:
            caller = make_caller(cluster)
            leaving = [node for node in list_targets(cluster, ZONES[0]) if node.kind == "engine"]
            async with keep_loaded([caller], chats=4, commands=2) as load:
                await wait_until("work reaches it", lambda: _works(cluster, leaving[0]), 10.0)
                long = asyncio.create_task(_ask_long(cluster))
                await cluster.register(*leaving, state="leaving")
                last = await watch_last(cluster, leaving, time.time())
                assert last <= LIMIT
                assert not (bad := await long), bad
            assert not load.bad, load.bad[:3]
            print(f"last request {last:+.2f} s after the list said so")

    run(work)


async def _ask_long(cluster: Cluster) -> list[Answer]:
    """Ask for answers of some seconds; gives those that are not whole and right."""
    caller = make_caller(cluster)
    chats = [Chat(f"long-{n}", "camp-large") for n in range(4)]
    for chat in chats:
        chat.ask("plan the whole mela")
    answers = await asyncio.gather(*(caller.ask_chat(chat, 600) for chat in chats))
    return [answer for answer in answers if not answer.good]


@pytest.mark.parametrize("cut_before", [0.0, 7.0])
def test_an_entry_instance_cut_off_from_the_rest_sends_no_work_to_a_zone_that_is_out(
    tmp_path: Path, cut_before: float
) -> None:
    """Zone b is cut off from the platform and from every instance, but reaches zone a's targets.

    Zone a goes out, at once or some seconds later; the instance of zone b has not heard of it. It
    has to ask the owner in zone a for a slot, which it cannot reach, and after some seconds takes
    all instances of zone a for gone. Its callers are served by zone b alone.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as cluster:
            assert cluster.platform is not None
            nodes = {node.zone: node for node in cluster.instances.values()}
            await set_cut(cluster, "almaty-b", True)
            targets = list_targets(cluster, "almaty-a")
            await cluster.set_route_faults("almaty-b", targets, blackhole=False)
            await asyncio.sleep(cut_before)
            status, output = await cluster.run_command(
                "zone", "out", "almaty-a", "--wait", "0.5", node=nodes["almaty-a"]
            )
            accepted = time.time()
            assert status == 0 and "in force at 1 of 2 instances; NOT at:" in output, output
            caller = make_caller(cluster)
            caller.pick = lambda: nodes["almaty-b"].address  # type: ignore[method-assign]
            async with keep_loaded([caller], chats=3, commands=0) as load:
                last = await watch_last(cluster, targets, accepted)
            assert last <= LIMIT
            assert load.answers

    run(work)
