"""Planned stops with real processes under load."""

from __future__ import annotations

import asyncio
import signal
import time
from pathlib import Path

import pytest

from loadtool import Caller, Chat, Cluster, Node
from loadtool._balancer import Balancer
from rhubarbbend.http import Connection
from tests.fleet.harness import ZONES, make_caller, run, start_fleet
from tests.fleet.views import connect, keep_loaded

# What the fleet gives a balancer to notice; the test's own notices within 0.7 s.
LAG = 1.0
SETTINGS = f"balancer_lag = {LAG}"


async def wait_end(node: Node, timeout: float) -> int:
    """Wait for a process to end; gives its exit status."""
    return await asyncio.wait_for(node.process.process.wait(), timeout)


async def replace(cluster: Cluster, node: Node) -> float:
    """Start another instance in a node's place, then stop it; gives the seconds the stop took."""
    fresh = await cluster.start_instance(f"{node.id}-new", node.zone)
    await cluster.register(fresh)
    await cluster.wait_ready(fresh)
    started = time.monotonic()
    node.process.send(signal.SIGTERM)
    assert await wait_end(node, 20.0) == 0
    took = time.monotonic() - started
    del cluster.instances[node.id]
    await cluster.unregister(node)
    return took


def test_a_rolling_replacement_cuts_and_refuses_nothing(tmp_path: Path) -> None:
    """Every instance is replaced, one after the other, under chats, long answers and bookings.

    A stopping instance still gets requests until the balancer notices, and has answers of
    seconds in flight. Callers see every answer whole and not one refusal, because the targets
    that it owned are granted by others at once.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, core_settings=SETTINGS) as cluster:
            nodes = list(cluster.instances.values())
            addresses = lambda: [n.address for n in cluster.instances.values()]  # noqa: E731
            async with Balancer(addresses) as balancer:
                caller = Caller(balancer.list_ready, "pilgrim-groups-key")
                stops: list[float] = []
                async with keep_loaded([caller], chats=2, commands=2) as load:
                    long = asyncio.create_task(load.run_chats(caller, "long", words=400))
                    for node in nodes:
                        stops.append(await replace(cluster, node))
                await long
            assert not load.bad, load.bad[:3]
            runs = cluster.read_runs()
            assert set(runs.values()) == {1}
            longest = max(stops)
            assert longest < LAG + 6.0
            print(
                f"{len(load.answers)} answers, {len(runs)} bookings, longest stop {longest:.2f} s"
            )

    run(work)


def test_open_connections_get_their_answers(tmp_path: Path) -> None:
    """One caller reuses its connection while its instance stops, another has a long answer.

    The first is told by "Connection: close" to go elsewhere and gets the answer to what it sent
    while the instance was draining. Another sends its first request on a connection that was
    opened before, after the listening socket has closed. A second SIGTERM does not hurry it.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, zones=1, instances=2, core_settings=SETTINGS) as cluster:
            node, other = cluster.instances.values()
            headers = [("Authorization", "Bearer pilgrim-groups-key")]
            kept = await Connection.open(node.address, 2.0)
            assert (await _look_up(kept, headers))[1] != "close"
            chat = Chat("long", "camp-large")
            chat.ask("everything about every plot")
            caller = make_caller(cluster)
            long = asyncio.create_task(caller.ask_chat(chat, 500, address=node.address))
            await asyncio.sleep(0.3)
            node.process.send(signal.SIGTERM)
            node.process.send(signal.SIGTERM)
            await asyncio.sleep(0.2)
            assert await _look_up(kept, headers) == (200, "close")
            late = await Connection.open(node.address, 2.0)
            await asyncio.sleep(LAG)
            # The listening socket is closed by now, this connection was idle and is read still.
            assert await _look_up(late, headers) == (200, "close")
            assert (await long).good
            assert await wait_end(node, 15.0) == 0
            assert (await make_caller(cluster).look_up("/booking/plots/1", other.address)).good

    run(work)


async def _look_up(connection: Connection, headers: list[tuple[str, str]]) -> tuple[int, str]:
    await connection.send("GET", "/booking/plots/1", headers, b"")
    response = await connection.receive_head(5.0)
    async for _ in connection.receive_body(5.0):
        pass
    connection.make_reusable()
    return response.status, response.headers.get("connection", "")


def test_the_last_instance_of_a_zone_hands_over_to_another_zone(tmp_path: Path) -> None:
    """A zone's only instance stops under load; its targets live on.

    Instances of the other zone hear of it from the stopping one, not from the list that lags, and
    own its targets before the next request asks for a slot there.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, core_settings=SETTINGS) as cluster:
            nodes = {node.zone: node for node in cluster.instances.values()}
            leaving = nodes[ZONES[1]]
            stays = nodes[ZONES[0]].address
            caller = Caller(lambda: [stays], "pilgrim-groups-key")
            async with keep_loaded([caller], chats=4, commands=1) as load:
                await asyncio.sleep(0.5)
                before = time.time()
                leaving.process.send(signal.SIGTERM)
                assert await wait_end(leaving, 10.0) == 0
                await asyncio.sleep(0.5)
            assert not load.bad, load.bad[:3]
            engine = next(t for t in cluster.targets.values() if t.id == "engine-b1")
            last = (await cluster.ask_admin(engine, "stats"))["last_request"]
            assert last > before + LAG, "the zone's engine got no work after the hand-over"

    run(work)


@pytest.mark.parametrize("fault", ["outage", "lose_answers"])
def test_an_operators_call_in_flight_gets_its_answer(tmp_path: Path, fault: str) -> None:
    """An instance is stopped while it takes an operator's change to a table that does not answer.

    Closed at once, the operator would not know whether the change was accepted. The stop waits
    for the word of the table, at most as long as the write is repeated.
    """

    async def work() -> None:
        settings = "balancer_lag = 0.1\nconfig_write_timeout = 3.0"
        async with start_fleet(tmp_path, zones=1, instances=2, core_settings=settings) as cluster:
            assert cluster.platform is not None
            node = next(iter(cluster.instances.values()))
            value: bool | int = True if fault == "outage" else 2
            await cluster.set_faults(cluster.platform, **{fault: value})

            def send() -> str:
                with connect(node) as client:
                    try:
                        items = [("zone", "z", b'{"name": "z"}')]
                        return f"version {client.apply_change('c-1', 'ana', 1, items)}"
                    except Exception as error:
                        return type(error).__name__

            sent = asyncio.create_task(asyncio.to_thread(send))
            await asyncio.sleep(0.2)
            node.process.send(signal.SIGTERM)
            assert await sent == ("OutcomeUnknown" if fault == "outage" else "version 2")
            assert await wait_end(node, 10.0) == 0

    run(work)
