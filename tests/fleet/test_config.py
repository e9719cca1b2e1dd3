"""Accepted configuration with real processes: races, lost answers, stale reads, cut-off zones."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from loadtool import Cluster
from loadtool._cluster import HOST, SECRET, SECRET_ENV
from rhubarbbend.cli import ExitStatus, main
from rhubarbbend.operators import SCHEMA, OperatorClient
from tests.fleet.harness import TENGRI, run, start_fleet, wait_until
from tests.fleet.views import connect, is_zone_in, read_version, set_cut, show

ZONE_OUT = [("zone", "almaty-b", b'{"name": "almaty-b", "in_service": false}')]


def test_the_loser_of_a_race_exits_with_conflict(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """Two operators look at the same version; the second to send must not undo the first's change.

    Berta's change is accepted between ana's look at the difference and her sending it. Ana's
    would be based on what is in force no more; she is told who won, with exit status 3.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as cluster:
            first, second = cluster.instances.values()
            look = OperatorClient.show

            def look_and_lose(client: OperatorClient, what: str) -> object:
                shown = look(client, what)
                if what == "config":
                    with connect(second) as other:
                        other.apply_change("berta-1", "berta", shown.version, ZONE_OUT)
                return shown

            changed = tmp_path / "changed.toml"
            text = (TENGRI / "fleet.toml").read_text("utf-8")
            changed.write_text(text.replace("bound = 1.25", "bound = 1.5"), "utf-8")
            monkeypatch.setenv(SECRET_ENV, SECRET)
            monkeypatch.setattr(OperatorClient, "show", look_and_lose)
            address = f"{HOST}:{first.operator_port}"
            options = ["--yes", "--author", "ana", "--instance", address]
            command = ["apply", str(changed), *options, "--secret-env", SECRET_ENV]
            status = await asyncio.to_thread(main, command)
            monkeypatch.setattr(OperatorClient, "show", look)
            assert status == ExitStatus.CONFLICT
            assert "taken by berta" in capsys.readouterr().err
            assert await read_version(second) == 2
            await wait_until("first follows", lambda: _has(cluster, 2), 5.0)
            assert await asyncio.to_thread(main, command) == ExitStatus.DONE
            assert not await is_zone_in(first, "almaty-b")

    run(work)


async def _has(cluster: Cluster, version: int) -> bool:
    versions = [await read_version(node) for node in cluster.instances.values()]
    return all(found >= version for found in versions)


def test_a_lost_answer_and_a_retry_make_one_version(tmp_path: Path) -> None:
    """The platform puts the change in its table and the answer is lost, twice.

    The instance sends the same write again and finds its own change id; the operator who sends
    the change id again, through another instance, gets the same version and not a second one.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as cluster:
            assert cluster.platform is not None
            first, second = cluster.instances.values()
            await cluster.set_faults(cluster.platform, lose_answers=2)

            def send(client: OperatorClient) -> int:
                with client:
                    return client.apply_change("c-1", "ana", 1, ZONE_OUT)

            assert await asyncio.to_thread(send, connect(first)) == 2
            assert await asyncio.to_thread(send, connect(second)) == 2
            with pytest.raises(SCHEMA.Conflict), connect(second) as client:
                await asyncio.to_thread(client.apply_change, "c-2", "berta", 1, ZONE_OUT)
            assert await read_version(first) == 2

    run(work)


@pytest.mark.parametrize("fault", ["outage", "stale"])
def test_a_restart_does_not_revert(tmp_path: Path, fault: str) -> None:
    """A zone is taken out; an instance restarts while the platform is down, or serves old reads.

    The table alone would give it nothing, or the version in which the zone is in service, and it
    would send the zone work again. It learns the newest version from a seed before it is ready.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=2) as cluster:
            assert cluster.platform is not None
            nodes = list(cluster.instances.values())
            status, output = await cluster.run_command("zone", "out", "almaty-b", node=nodes[0])
            assert status == 0 and "in force at all 4 instances" in output, output
            restarted = nodes[0]
            _add_seed(tmp_path / f"{restarted.id}.toml", nodes[1].id, nodes[1].peer_port)
            value: float | bool = True if fault == "outage" else 60.0
            await cluster.set_faults(cluster.platform, **{fault: value})
            await restarted.process.kill()
            await cluster.restart_instance(restarted)
            await cluster.wait_ready(restarted, timeout=8.0)
            assert await read_version(restarted) == 2
            assert not await is_zone_in(restarted, "almaty-b")

    run(work)


def _add_seed(settings: Path, name: str, peer_port: int) -> None:
    seed = f'[[seeds]]\nid = "{name}"\nzone = "almaty-a"\naddress = "{HOST}:{peer_port}"\n'
    settings.write_text(settings.read_text("utf-8") + seed, "utf-8")


def test_a_cut_off_zone_is_named_and_catches_up(tmp_path: Path) -> None:
    """Zone c is cut off from the platform and the other zones when zone b is taken out.

    Nothing can bring the change to zone c; the operator is told so, by instance. Everyone else
    has it at once, and zone c within 5 s of being joined again; nobody's version ever goes down.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, zones=3) as cluster:
            nodes = {node.zone: node for node in cluster.instances.values()}
            cut = nodes["almaty-c"]
            views = await show(nodes["almaty-a"], "instances")
            assert [view.behind for view in views] == [0, 0, 0], views
            await set_cut(cluster, "almaty-c", True)
            sent = time.monotonic()
            status, output = await cluster.run_command(
                "zone", "out", "almaty-b", "--wait", "2", node=nodes["almaty-a"]
            )
            assert status == 0
            assert "in force at 2 of 3 instances; NOT at:" in output, output
            assert f"{cut.id} in almaty-c: at version 1" in output
            assert time.monotonic() - sent < 5.0
            assert await read_version(cut) == 1
            views = await show(nodes["almaty-a"], "instances")
            assert {v.id: v.behind for v in views}[cut.id] == 1
            await set_cut(cluster, "almaty-c", False)

            async def caught_up() -> bool:
                return await read_version(cut) == 2

            await wait_until("zone c has the change", caught_up, 5.0)
            assert not await is_zone_in(cut, "almaty-b")

    run(work)
