"""Planned stops of real instances under load."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest

from loadtool import Caller, Chat, Cluster, Node
from loadtool._balancer import Balancer
from rhubarbbend.http import Connection
from tests.fleet.harness import ZONES, make_caller, run_with_timeout, start_fleet
from tests.fleet.instance_helpers import make_operator_client, run_mixed_load

# How long a stopping instance waits for the balancer to notice; the balancer of this test notices
# within 0.7 s.
BALANCER_LAG_S = 1.0
SETTINGS = f"balancer_lag = {BALANCER_LAG_S}"


async def wait_for_exit(node: Node, timeout: float) -> int:
    """Wait for a process to exit and return its exit status."""
    return await asyncio.wait_for(node.process.process.wait(), timeout)


async def replace_instance(cluster: Cluster, node: Node) -> float:
    """Start a replacement of an instance, stop the old one and return the stop's seconds."""
    replacement = await cluster.start_instance(f"{node.id}-new", node.zone)
    await cluster.register(replacement)
    await cluster.wait_until_instances_ready(replacement)
    stop_started_at = time.monotonic()
    node.process.send_signal(signal.SIGTERM)
    assert await wait_for_exit(node, 20.0) == 0
    stop_duration_s = time.monotonic() - stop_started_at
    del cluster.instances[node.id]
    await cluster.unregister(node)
    return stop_duration_s


def test_rolling_replacement_cuts_and_refuses_no_answer(tmp_path: Path) -> None:
    """Every instance is replaced, one after the other, under chats, long answers and bookings.

    A stopping instance still gets requests until the balancer notices, and has answers in flight
    that take seconds. Callers get every answer complete and no refusal, because other instances
    grant the slots of its targets at once.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, core_settings=SETTINGS) as cluster:
            nodes = list(cluster.instances.values())
            addresses = lambda: [n.address for n in cluster.instances.values()]  # noqa: E731
            async with Balancer(addresses) as balancer:
                caller = Caller(balancer.list_ready, "pilgrim-groups-key")
                stop_durations: list[float] = []
                async with run_mixed_load([caller], chats=2, commands=2) as load:
                    long_chats = asyncio.create_task(load.run_chats(caller, "long", max_tokens=400))
                    for node in nodes:
                        stop_durations.append(await replace_instance(cluster, node))
                await long_chats
            assert not load.failed_answers, load.failed_answers[:3]
            runs = cluster.count_runs_by_key()
            assert set(runs.values()) == {1}
            longest_s = max(stop_durations)
            assert longest_s < BALANCER_LAG_S + 6.0
            print(
                f"{len(load.answers)} answers, {len(runs)} bookings, longest stop {longest_s:.2f} s"
            )

    run_with_timeout(work)


def test_open_connections_get_their_answers_during_a_stop(tmp_path: Path) -> None:
    """One caller reuses its connection while its instance stops; another waits for a long answer.

    The first gets the answer to what it sent while the instance was draining, with "Connection:
    close" so that it goes to another instance. Another caller sends its first request, after the
    listening socket has closed, on a connection that was opened before. A second SIGTERM does not
    speed up the stop.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, zones=1, instances=2, core_settings=SETTINGS) as cluster:
            node, other = cluster.instances.values()
            headers = [("Authorization", "Bearer pilgrim-groups-key")]
            reused = await Connection.open(node.address, 2.0)
            assert (await _look_up(reused, headers))[1] != "close"
            chat = Chat("long", "camp-large")
            chat.add_user_message("everything about every plot")
            caller = make_caller(cluster)
            long_answer = asyncio.create_task(caller.send_chat(chat, 500, address=node.address))
            await asyncio.sleep(0.3)
            node.process.send_signal(signal.SIGTERM)
            node.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            assert await _look_up(reused, headers) == (200, "close")
            idle = await Connection.open(node.address, 2.0)
            await asyncio.sleep(BALANCER_LAG_S)
            # The listening socket is closed by now; this idle connection is still read.
            assert await _look_up(idle, headers) == (200, "close")
            assert (await long_answer).is_correct
            assert await wait_for_exit(node, 15.0) == 0
            assert (
                await make_caller(cluster).look_up("/booking/plots/1", other.address)
            ).is_correct

    run_with_timeout(work)


async def _look_up(connection: Connection, headers: list[tuple[str, str]]) -> tuple[int, str]:
    await connection.send("GET", "/booking/plots/1", headers, b"")
    response = await connection.receive_head(5.0)
    async for _ in connection.receive_body(5.0):
        pass
    connection.make_reusable()
    return response.status, response.headers.get("connection", "")


def test_last_instance_of_a_zone_hands_over_to_another_zone(tmp_path: Path) -> None:
    """The only instance of a zone stops under load while its targets keep running.

    The instances of the other zone learn this from the stopping instance, not from the platform's
    list, which lags, and own its targets before the next request asks for a slot there.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, core_settings=SETTINGS) as cluster:
            nodes = {node.zone: node for node in cluster.instances.values()}
            leaving = nodes[ZONES[1]]
            remaining_address = nodes[ZONES[0]].address
            caller = Caller(lambda: [remaining_address], "pilgrim-groups-key")
            async with run_mixed_load([caller], chats=4, commands=1) as load:
                await asyncio.sleep(0.5)
                stopped_at = time.time()
                leaving.process.send_signal(signal.SIGTERM)
                assert await wait_for_exit(leaving, 10.0) == 0
                await asyncio.sleep(0.5)
            assert not load.failed_answers, load.failed_answers[:3]
            engine = next(t for t in cluster.targets.values() if t.id == "engine-b1")
            last_request_at = (await cluster.call_admin(engine, "stats"))["last_request"]
            assert (
                last_request_at > stopped_at + BALANCER_LAG_S
            ), "the engine got no request after the handover"

    run_with_timeout(work)


@pytest.mark.parametrize("fault", ["outage", "lose_answers"])
def test_operator_call_in_flight_gets_its_answer_during_a_stop(tmp_path: Path, fault: str) -> None:
    """An instance stops while it writes an operator's change to a table that does not answer.

    If the connection closed at once, the operator would not know whether the change was accepted.
    The stop waits for the table's answer, at most for as long as the write is repeated.
    """

    async def work() -> None:
        settings = "balancer_lag = 0.1\nconfig_write_timeout = 3.0"
        async with start_fleet(tmp_path, zones=1, instances=2, core_settings=settings) as cluster:
            assert cluster.platform is not None
            node = next(iter(cluster.instances.values()))
            fault_value: bool | int = True if fault == "outage" else 2
            await cluster.set_faults(cluster.platform, **{fault: fault_value})

            def send() -> str:
                with make_operator_client(node) as client:
                    try:
                        items = [("zone", "z", b'{"name": "z"}')]
                        return f"version {client.apply_change('c-1', 'ana', 1, items)}"
                    except Exception as error:
                        return type(error).__name__

            pending_result = asyncio.create_task(asyncio.to_thread(send))
            await asyncio.sleep(0.2)
            node.process.send_signal(signal.SIGTERM)
            assert await pending_result == ("OutcomeUnknown" if fault == "outage" else "version 2")
            assert await wait_for_exit(node, 10.0) == 0

    run_with_timeout(work)
