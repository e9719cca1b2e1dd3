"""Tests of zones in which a few instances read the store for the others."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from rhubarbbend.core.readers import InstanceRow, list_zone_readers
from tests.gateway.harness import GatewayFleet, make_config, run, start_fleet, wait_until

ZONE_INSTANCES = 6
# Within this time a change must be in force at every instance that runs and can be reached.
MAX_APPLY_TIME_S = 2.0


def find_readers(fleet: GatewayFleet) -> list[str]:
    rows = {
        name: InstanceRow(node.settings["zone"], node.ip, 1)
        for name, node in fleet.instances.items()
    }
    return list_zone_readers(rows, "zone-a")


def find_reader(fleet: GatewayFleet) -> str:
    return find_readers(fleet)[0]


def make_config_without_second_key(version: int) -> dict[str, object]:
    config = make_config(version)
    config["tenants"][0]["apiKeys"] = ["key-of-the-pilgrims"]
    return config


async def wait_for_listeners(fleet: GatewayFleet) -> None:
    """Wait until every instance except the readers waits at a reader."""

    def last_mode(name: str) -> str:
        modes = [line["event"] for line in fleet.read_log(name)]
        modes = [mode for mode in modes if mode in ("waits_at_reader", "reads_store")]
        return modes[-1] if modes else ""

    async def is_listening() -> bool:
        others = fleet.instances.keys() - set(find_readers(fleet))
        return all(last_mode(name) == "waits_at_reader" for name in others)

    await wait_until("all wait at readers", is_listening)
    await asyncio.sleep(1.0)


async def check_key_refused(fleet: GatewayFleet, names: list[str], timeout: float) -> None:
    """Check that the instances refuse the revoked key within the given number of seconds."""

    async def is_refused(name: str) -> bool:
        return (
            await fleet.send_request("/read/x", instance=name, X_Api_Key="second-key")
        ).status == 401

    async def wait(name: str) -> None:
        await wait_until(f"{name} refuses the key", lambda: is_refused(name), timeout)

    await asyncio.gather(*(wait(name) for name in names))


def test_only_the_reader_calls_the_store_for_a_change(tmp_path: Path) -> None:
    # A key is revoked in a zone of six instances. Each must refuse it in time, while only one
    # instance calls the store: without readers, a change completed six calls, each of which costs
    # the store something.
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=ZONE_INSTANCES, engine_worker_count=1, zones=1
        ) as fleet:
            await wait_for_listeners(fleet)
            before = await fleet.count_store_calls()
            await fleet.write_row("op", "config", make_config_without_second_key(5))
            await check_key_refused(fleet, list(fleet.instances), MAX_APPLY_TIME_S)
            await fleet.register_worker("plain-0", state="draining")
            await asyncio.sleep(3.0)
            calls = await fleet.count_store_calls() - before
            # A reader alone makes 1.9 calls a second; six instances on their own would make 6.
            assert calls <= 12

    run(work)


def test_listeners_stay_with_their_reader_after_a_start(tmp_path: Path) -> None:
    # All instances of a large zone start at once, their reader a moment before the others. The
    # reader had already started a watch of 2 s when it learned that it was one. Until the watch
    # ended it could not prove that its data was current, and after 1.3 s all others read the store
    # themselves again.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=0, engine_worker_count=1, zones=1) as fleet:
            for number in range(ZONE_INSTANCES):
                await fleet.add_instance(f"front-{number}", "zone-a")
            reader = find_reader(fleet)
            others = [name for name in fleet.instances if name != reader]
            await fleet.start_instance(reader)
            await fleet.wait_ready(reader)
            await asyncio.gather(*(fleet.start_instance(name) for name in others))
            await wait_for_listeners(fleet)
            await asyncio.sleep(2.0)
            logs = [[line["event"] for line in fleet.read_log(name)] for name in others]
            assert [log.count("reads_store") for log in logs] == [0] * len(others)
            assert [log.count("waits_at_reader") for log in logs] == [1] * len(others)

    run(work)


@pytest.mark.parametrize("fault", ["kill", "freeze", "cut"])
def test_zone_learns_of_changes_without_its_reader(tmp_path: Path, fault: str) -> None:
    # The reader is killed, hangs, or still serves its listeners but no longer gets answers from the
    # store. At the same moment a key is revoked. The others must notice that the data from the
    # reader is too old, and read the store themselves.
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=ZONE_INSTANCES, engine_worker_count=1, zones=1
        ) as fleet:
            await wait_for_listeners(fleet)
            reader = find_reader(fleet)
            node = fleet.instances[reader]
            assert node.process is not None
            if fault == "kill":
                await node.process.kill()
            elif fault == "freeze":
                node.process.freeze()
            else:
                await fleet.set_route_faults(node.store_port, freeze=True, blackhole=True)
            await fleet.write_row("op", "config", make_config_without_second_key(5))
            others = [name for name in fleet.instances if name != reader]
            await check_key_refused(fleet, others, MAX_APPLY_TIME_S)
            if fault == "freeze":
                node.process.resume()

    run(work)


def test_reader_relays_crashes_to_its_zone(tmp_path: Path) -> None:
    # A request crashes two workers, through two instances that wait at the reader, and is then sent
    # to a third one. That instance knows of both crashes from the reader, and must refuse it.
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=ZONE_INSTANCES, plain_worker_count=4, engine_worker_count=1, zones=1
        ) as fleet:
            await fleet.set_service_faults("plain", crash_on="poison")
            await wait_for_listeners(fleet)
            names = [name for name in fleet.instances if name != find_reader(fleet)]
            for name in names[:2]:
                await fleet.send_request("/book/x", b"poison", instance=name)
                await asyncio.sleep(1.2)
            reply = await fleet.send_request("/book/x", b"poison", instance=names[2])
            assert reply.status == 503

    run(work)


def test_listeners_of_a_reader_learn_of_a_joining_instance(tmp_path: Path) -> None:
    # Each instance computes its share of the fleet's limits from the number of instances. One that
    # joins notifies the reader, and the others must learn of it from there, long before they would
    # read the list again.
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=ZONE_INSTANCES, engine_worker_count=1, zones=1
        ) as fleet:
            await wait_for_listeners(fleet)
            listener = next(name for name in fleet.instances if name != find_reader(fleet))
            await fleet.add_instance("front-new", "zone-a")
            await fleet.start_instance("front-new")
            await fleet.wait_ready("front-new")
            address = (fleet.instances[listener].ip, 9464)

            async def is_counted() -> bool:
                metrics = await fleet.call(address, "GET", "/metrics")
                return f"rhubarbbend_instances {ZONE_INSTANCES + 1}\n".encode() in metrics.body

            await wait_until("the new instance counts", is_counted, MAX_APPLY_TIME_S)

    run(work)


@pytest.mark.parametrize("kill", [False, True])
def test_small_zones_share_readers(tmp_path: Path, kill: bool) -> None:
    # A key is revoked in a fleet of twelve instances in three zones. When each instance read the
    # store itself, the change completed twelve calls. With both readers killed, the others must
    # still refuse the key in time.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=12, engine_worker_count=1) as fleet:
            await wait_for_listeners(fleet)
            readers = find_readers(fleet)
            assert len(readers) == 2
            before = await fleet.count_store_calls()
            for process in [fleet.instances[name].process for name in readers if kill]:
                assert process is not None
                await process.kill()
            await fleet.write_row("op", "config", make_config_without_second_key(5))
            others = [name for name in fleet.instances if name not in readers]
            await check_key_refused(fleet, others, MAX_APPLY_TIME_S)
            if not kill:
                await asyncio.sleep(3.0)
                assert await fleet.count_store_calls() - before <= 24

    run(work)
