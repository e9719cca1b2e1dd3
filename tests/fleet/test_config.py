"""Configuration changes with real processes: races, lost answers, stale reads, partitions."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from loadtool import Cluster
from loadtool._cluster import HOST, SECRET, SECRET_ENV
from rhubarbbend.cli import ExitStatus, main
from rhubarbbend.operators import SCHEMA, OperatorClient
from tests.fleet.harness import TENGRI_DIR, run_with_timeout, start_fleet, wait_until
from tests.fleet.instance_helpers import (
    fetch_view,
    is_zone_in_service,
    make_operator_client,
    read_config_version,
    set_zone_partitioned,
)

ZONE_OUT = [("zone", "almaty-b", b'{"name": "almaty-b", "in_service": false}')]


def test_operator_who_loses_a_race_gets_a_conflict(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Two operators read the same version; the second must not undo the change of the first.

    Berta's change is accepted after Ana has read the configuration and before she sends hers. Ana's
    change would be based on an outdated version, so she is told who won, with exit status 3.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as cluster:
            first, second = cluster.instances.values()
            original_show = OperatorClient.show

            def show_and_lose_race(client: OperatorClient, view_kind: str) -> object:
                view = original_show(client, view_kind)
                if view_kind == "config":
                    with make_operator_client(second) as other:
                        other.apply_change("berta-1", "berta", view.version, ZONE_OUT)
                return view

            changed_file = tmp_path / "changed.toml"
            text = (TENGRI_DIR / "fleet.toml").read_text("utf-8")
            changed_file.write_text(text.replace("bound = 1.25", "bound = 1.5"), "utf-8")
            monkeypatch.setenv(SECRET_ENV, SECRET)
            monkeypatch.setattr(OperatorClient, "show", show_and_lose_race)
            address = f"{HOST}:{first.operator_port}"
            options = ["--yes", "--author", "ana", "--instance", address]
            command = ["apply", str(changed_file), *options, "--secret-env", SECRET_ENV]
            status = await asyncio.to_thread(main, command)
            monkeypatch.setattr(OperatorClient, "show", original_show)
            assert status == ExitStatus.CONFLICT
            assert "taken by berta" in capsys.readouterr().err
            assert await read_config_version(second) == 2
            await wait_until(
                "every instance has version 2", lambda: _have_all_reached(cluster, 2), 5.0
            )
            assert await asyncio.to_thread(main, command) == ExitStatus.DONE
            assert not await is_zone_in_service(first, "almaty-b")

    run_with_timeout(work)


async def _have_all_reached(cluster: Cluster, version: int) -> bool:
    versions = [await read_config_version(node) for node in cluster.instances.values()]
    return all(found_version >= version for found_version in versions)


def test_retry_after_a_lost_answer_creates_one_version(tmp_path: Path) -> None:
    """The platform stores the change in its table, but its answer is lost, twice.

    The instance repeats the write and finds its own change id. The operator who sends the change id
    again through another instance gets the same version, not a second one.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as cluster:
            assert cluster.platform is not None
            first, second = cluster.instances.values()
            await cluster.set_faults(cluster.platform, lose_answers=2)

            def send(client: OperatorClient) -> int:
                with client:
                    return client.apply_change("c-1", "ana", 1, ZONE_OUT)

            assert await asyncio.to_thread(send, make_operator_client(first)) == 2
            assert await asyncio.to_thread(send, make_operator_client(second)) == 2
            with pytest.raises(SCHEMA.Conflict), make_operator_client(second) as client:
                await asyncio.to_thread(client.apply_change, "c-2", "berta", 1, ZONE_OUT)
            assert await read_config_version(first) == 2

    run_with_timeout(work)


@pytest.mark.parametrize("fault", ["outage", "stale"])
def test_restarted_instance_does_not_revert_the_configuration(tmp_path: Path, fault: str) -> None:
    """A zone is taken out; an instance restarts while the platform is down or serves stale reads.

    From the table alone the instance would get nothing, or the version with the zone in service,
    and would route requests to the zone again. It gets the newest version from a seed before it is
    ready.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=2) as cluster:
            assert cluster.platform is not None
            nodes = list(cluster.instances.values())
            status, output = await cluster.run_command("zone", "out", "almaty-b", node=nodes[0])
            assert status == 0 and "in force at all 4 instances" in output, output
            restarted = nodes[0]
            _add_seed(tmp_path / f"{restarted.id}.toml", nodes[1].id, nodes[1].peer_port)
            fault_value: float | bool = True if fault == "outage" else 60.0
            await cluster.set_faults(cluster.platform, **{fault: fault_value})
            await restarted.process.kill()
            await cluster.restart_instance(restarted)
            await cluster.wait_until_instances_ready(restarted, timeout=8.0)
            assert await read_config_version(restarted) == 2
            assert not await is_zone_in_service(restarted, "almaty-b")

    run_with_timeout(work)


def _add_seed(settings: Path, name: str, peer_port: int) -> None:
    seed = f'[[seeds]]\nid = "{name}"\nzone = "almaty-a"\naddress = "{HOST}:{peer_port}"\n'
    settings.write_text(settings.read_text("utf-8") + seed, "utf-8")


def test_partitioned_zone_is_reported_and_catches_up(tmp_path: Path) -> None:
    """Zone c is partitioned from the platform and the other zones when zone b is taken out.

    The change cannot reach zone c, and the operator is told so, by instance. All other instances
    have it at once, and zone c within 5 s of being reconnected; no instance's version ever
    decreases.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, zones=3) as cluster:
            nodes = {node.zone: node for node in cluster.instances.values()}
            partitioned = nodes["almaty-c"]
            views = await fetch_view(nodes["almaty-a"], "instances")
            assert [view.behind for view in views] == [0, 0, 0], views
            await set_zone_partitioned(cluster, "almaty-c", True)
            # The start of the command is not judged: it took 1 to 5 s on a busy machine.
            managed = await cluster.start_command(
                "zone", "out", "almaty-b", "--wait", "2", node=nodes["almaty-a"]
            )
            assert managed.process.stdout is not None
            assert b"accepted as version 2" in await managed.process.stdout.readline()
            accepted_at = time.monotonic()
            rest, _ = await managed.process.communicate()
            took_s, output = time.monotonic() - accepted_at, rest.decode()
            assert managed.process.returncode == 0
            assert "in force at 2 of 3 instances; NOT at:" in output, output
            assert f"{partitioned.id} in almaty-c: at version 1" in output
            # The wait of 2 s, and one last question to all instances, which is given up after 1 s.
            assert took_s < 4.0
            assert await read_config_version(partitioned) == 1
            views = await fetch_view(nodes["almaty-a"], "instances")
            assert {v.id: v.behind for v in views}[partitioned.id] == 1
            await set_zone_partitioned(cluster, "almaty-c", False)

            async def has_caught_up() -> bool:
                return await read_config_version(partitioned) == 2

            await wait_until("zone c has the change", has_caught_up, 5.0)
            assert not await is_zone_in_service(partitioned, "almaty-b")

    run_with_timeout(work)
