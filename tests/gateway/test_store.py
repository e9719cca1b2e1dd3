"""Tests with a store that is unavailable or holds invalid rows, and of changes in the store.

What is in force stays in force, and instances learn of changes by other ways.
"""

from __future__ import annotations

import asyncio
import base64
import signal
from pathlib import Path
from typing import Any, Final

import pytest

from tests.gateway.harness import GatewayFleet, make_config, run, start_fleet, wait_until


async def wait_refused(fleet: GatewayFleet, instance: str, key: str, timeout: float) -> None:
    """Wait until an instance refuses a key."""

    async def is_refused() -> bool:
        return (await fleet.send_request("/read/x", instance=instance, X_Api_Key=key)).status == 401

    await wait_until(f"{instance} refuses {key}", is_refused, timeout)


def make_config_without_second_key(version: int) -> dict[str, object]:
    config = make_config(version)
    config["tenants"][0]["apiKeys"] = ["key-of-the-pilgrims"]
    return config


@pytest.mark.parametrize(
    "faults", [{"status": 503}, {"status": 429}, {"silent": True}, {"delay": 0.3}]
)
def test_callers_are_served_while_the_store_is_unavailable(
    tmp_path: Path, faults: dict[str, object]
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, engine_worker_count=1) as fleet:
            await fleet.set_store_faults(**faults)
            for _ in range(20):
                assert (await fleet.send_request("/read/x")).status == 200
                await asyncio.sleep(0.1)
            await fleet.set_store_faults(status=0, silent=False, delay=0.0)
            await fleet.write_row("op", "config", make_config_without_second_key(9))
            await wait_refused(fleet, "front-0", "second-key", 3.5)

    run(work)


@pytest.mark.parametrize("fault", ["refuse", "blackhole", "freeze"])
def test_instance_cut_off_from_the_store_learns_from_its_peers(tmp_path: Path, fault: str) -> None:
    # One instance loses its path to the store, or only its open connections, and a key is revoked
    # meanwhile. The other instance knows that, and the first one queries it.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, engine_worker_count=1) as fleet:
            await asyncio.sleep(0.5)
            port = fleet.instances["front-1"].store_port
            await fleet.set_route_faults(port, **{fault: True, "cut": fault == "refuse"})
            await asyncio.sleep(0.2)
            await fleet.write_row("op", "config", make_config_without_second_key(4))
            await fleet.register_worker("plain-0", state="draining")
            await wait_refused(fleet, "front-0", "second-key", 2.0)
            await wait_refused(fleet, "front-1", "second-key", 5.0)
            before = len((await fleet.read_stats("plain-0")).seen)
            for _ in range(10):
                assert (await fleet.send_request("/read/x", instance="front-1")).status == 200
            assert len((await fleet.read_stats("plain-0")).seen) == before

    run(work)


def test_instance_started_without_the_store_learns_from_its_peers(
    tmp_path: Path,
) -> None:
    # The instance is killed and restarted while the store refuses all calls. Its settings name
    # seeds, one of which has the configuration and the workers.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, engine_worker_count=1) as fleet:
            await fleet.set_store_faults(status=503)
            node = fleet.instances["front-1"]
            assert node.process is not None
            await node.process.kill()
            await fleet.start_instance("front-1")
            await fleet.wait_ready("front-1", 5.0)
            assert (await fleet.send_request("/read/x", instance="front-1")).status == 200

    run(work)


def test_tables_are_read_again_when_their_history_is_gone(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.set_store_faults(status=503)
            await asyncio.sleep(0.3)
            await fleet.write_row("op", "config", make_config_without_second_key(4))
            await fleet.write_row("servers", "plain-0", None)
            await fleet.set_store_faults(status=0, forget=True)
            await wait_refused(fleet, "front-0", "second-key", 3.0)

            async def is_gone() -> bool:
                before = len((await fleet.read_stats("plain-0")).seen)
                for _ in range(6):
                    await fleet.send_request("/read/x")
                return len((await fleet.read_stats("plain-0")).seen) == before

            # The registration may have lapsed with the store, so it is used for two more seconds.
            await wait_until("plain-0 gets nothing", is_gone, 6.0)

    run(work)


ENTRY: Final = {
    "service": "plain",
    "address": "127.0.0.1:1",
    "zone": "zone-a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldLeftMs": 0,
}


@pytest.mark.parametrize(
    "entry",
    [
        {"service": "plain"},
        {**ENTRY, "address": 7},
        {**ENTRY, "address": "nowhere"},
        {**ENTRY, "state": "odd"},
        ["a", "list"],
    ],
)
def test_malformed_rows_are_ignored(tmp_path: Path, entry: object) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=1, engine_worker_count=1
        ) as fleet:
            await fleet.write_row("servers", "forged", entry)
            await fleet.write_row("servers", "bytes", None, raw="//79/w==")
            await fleet.write_row("op", "config", {"version": "nine"})
            await asyncio.sleep(0.4)
            for _ in range(6):
                assert (await fleet.send_request("/read/x")).status == 200
            events = [line["event"] for line in fleet.read_log("front-0")]
            assert events.count("row_unreadable") >= 3

    run(work)


# Guards against requests that are refused since another writer has replaced the entries of all
# targets, which are alive and write theirs again; and against a target that is used for longer than
# one that has left may be.
@pytest.mark.parametrize("odd", [{"version": None}, {"state": "odd"}, {"coldLeftMs": "none"}])
def test_targets_whose_entries_are_replaced_are_used_until_they_write_them_again(
    tmp_path: Path, odd: dict[str, Any]
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=0) as fleet:
            workers = list(fleet.workers.values())

            async def replace_entries() -> None:
                for node in workers:
                    entry = {**ENTRY, "address": f"127.0.0.1:{node.advertised_port}", **odd}
                    await fleet.write_row("servers", node.name, entry)

            async def write_again() -> None:
                await asyncio.sleep(1.2)
                for node in workers:
                    await fleet.register_worker(node.name, seqNo=2)

            for _ in range(2):
                await replace_entries()
                writing = asyncio.create_task(write_again())
                while not writing.done():
                    assert (await fleet.send_request("/read/x")).status == 200
                    await asyncio.sleep(0.02)
                await asyncio.sleep(0.3)
            await replace_entries()
            await asyncio.sleep(2.0)
            assert (await fleet.send_request("/read/x")).status == 503

    run(work)


# Guards against 500 for requests to a target whose address cannot be used, and against
# an instance list with such an address, which ended the exchange of counts.
@pytest.mark.parametrize("address", ["127.0.0.1:70000", "127.0.0.1:0", "host\0:80", "a b:80"])
def test_a_target_without_a_usable_address_gets_no_request(tmp_path: Path, address: str) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, engine_worker_count=0) as fleet:
            host, _, port = address.rpartition(":")
            entry = {
                "service": "plain",
                "address": address,
                "zone": "zone-a",
                "slots": 6,
                "version": "v1",
                "coldLeftMs": 0,
            }
            await fleet.write_row("servers", "forged", {**entry, "state": "ready"})
            row = {"zone": "zone-a", "host": host, "port": int(port)}
            await fleet.write_row("instances", "forged", row)
            await asyncio.sleep(0.4)
            for _ in range(20):
                assert (await fleet.send_request("/read/x")).status == 200
            events = [line["event"] for line in fleet.read_log("front-0")]
            assert "row_unreadable" in events and "internal_error" not in events

    run(work)


# Guards against an instance that silently stops to follow a table (review/2): requests went to a
# draining target for good, and an instance that was restarted refused everything.
@pytest.mark.parametrize("depth", [900, 4_000])
def test_a_row_nested_too_deeply_does_not_end_the_following(tmp_path: Path, depth: int) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=0) as fleet:
            raw = base64.b64encode(b'{"nested":' + b"[" * depth).decode()
            for table, key in (("servers", "forged"), ("op", "rollout/plain"), ("op", "config")):
                await fleet.write_row(table, key, None, raw=raw)
            await asyncio.sleep(0.4)
            await fleet.register_worker("plain-0", state="draining", seqNo=2)
            await asyncio.sleep(1.0)
            before = len((await fleet.read_stats("plain-0")).seen)
            for _ in range(12):
                assert (await fleet.send_request("/read/x")).status == 200
            assert len((await fleet.read_stats("plain-0")).seen) == before
            events = [line["event"] for line in fleet.read_log("front-0")]
            assert events.count("row_unreadable") == 3 and "internal_error" not in events
            await fleet.write_row("op", "config", make_config(9))
            process = fleet.instances["front-0"].process
            assert process is not None
            await process.stop()
            await fleet.start_instance("front-0")
            await fleet.wait_ready("front-0")
            assert (await fleet.send_request("/read/x")).status == 200

    run(work)


def test_older_configuration_is_never_applied(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.write_row("op", "config", make_config_without_second_key(7))
            await wait_refused(fleet, "front-0", "second-key", 2.0)
            await fleet.write_row("op", "config", make_config(6))
            await asyncio.sleep(0.5)
            assert (await fleet.send_request("/read/x", X_Api_Key="second-key")).status == 401

    run(work)


def test_zone_out_of_service_gets_no_requests_until_it_returns(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=3, engine_worker_count=1
        ) as fleet:
            await fleet.write_row("op", "evacuate/zone-b", {})
            await asyncio.sleep(0.5)
            for number in range(12):
                reply = await fleet.send_request("/read/x", instance=f"front-{number % 2}")
                assert reply.status == 200
            assert (await fleet.read_stats("plain-1")).seen == []
            await fleet.write_row("op", "evacuate/zone-b", None)

            async def is_used() -> bool:
                await asyncio.gather(*(fleet.send_request("/read/x") for _ in range(6)))
                return bool((await fleet.read_stats("plain-1")).seen)

            await wait_until("the zone gets work again", is_used)

    run(work)


def test_draining_worker_gets_no_new_requests(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.register_worker("plain-0", state="draining")
            await asyncio.sleep(0.4)
            before = len((await fleet.read_stats("plain-0")).seen)
            for _ in range(8):
                assert (await fleet.send_request("/read/x")).status == 200
            assert len((await fleet.read_stats("plain-0")).seen) == before

    run(work)


def test_all_instances_together_stay_within_the_rate_of_a_cold_engine(tmp_path: Path) -> None:
    # The engine is cold and may get 4 x 1.5 + 2 = 8 requests a second. Both instances get many more
    # requests at once.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, engine_worker_count=1) as fleet:
            await fleet.register_worker("engine-0", coldLeftMs=20_000, born=2)
            await asyncio.sleep(0.5)
            request_tasks = [
                fleet.send_request(
                    "/plan/stream", b"x", instance=f"front-{n % 2}", Prefix_Hash="a:9,b:9"
                )
                for n in range(40)
            ]
            replies = await asyncio.gather(*request_tasks)
            assert sum(reply.status == 200 for reply in replies) <= 8
            refused = [reply for reply in replies if reply.status == 503]
            assert refused and all(float(r.headers["retry-after"]) > 0 for r in refused)

    run(work)


def test_settings_are_reloaded_and_an_invalid_file_changes_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            node = fleet.instances["front-0"]
            assert node.process is not None
            path = tmp_path / "front-0.json"
            before = path.read_text("utf-8")
            path.write_text("{broken", "utf-8")
            node.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
            assert (await fleet.send_request("/read/x")).status == 200
            path.write_text(before.replace('"capFactor": 2', '"capFactor": 3'), "utf-8")
            node.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
            lines = {line["event"]: line for line in fleet.read_log("front-0")}
            assert lines["settings_invalid"]["reason"]
            assert lines["reloaded"]["changed"] == ["load_factor"]

    run(work)


# Guards against a reload that ends an instance, since it comes before the program is loaded.
def test_a_reload_while_an_instance_loads_is_obeyed_later(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=0) as fleet:
            node = fleet.instances["front-0"]
            assert node.process is not None
            await node.process.stop()
            await fleet.start_instance("front-0")

            async def is_listening() -> bool:
                try:
                    _, writer = await asyncio.open_connection(*node.front_address)
                except OSError:
                    return False
                writer.close()
                return True

            # From then on the process loads the program.
            await wait_until("it listens", is_listening)
            for _ in range(20):
                node.process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.01)
            await fleet.wait_ready("front-0")
            assert node.process.running

    run(work)
