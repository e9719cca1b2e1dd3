"""The operators' commands against real instances: exit statuses and what they say."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from loadtool import Node
from loadtool._cluster import HOST, SECRET, SECRET_ENV
from rhubarbbend.cli import ExitStatus, main
from tests.fleet.harness import TENGRI, run, start_fleet, wait_until
from tests.fleet.views import is_zone_in, read_version, show


class Operator:
    """Runs commands in this process and keeps what they print."""

    def __init__(self, node: Node, capsys: pytest.CaptureFixture[str]) -> None:
        self._options = ["--instance", f"{HOST}:{node.operator_port}", "--secret-env", SECRET_ENV]
        self._capsys = capsys

    async def __call__(self, *arguments: str) -> tuple[int, str]:
        status = await asyncio.to_thread(main, [*arguments, *self._options])
        shown = self._capsys.readouterr()
        return status, shown.out + shown.err


def test_commands_say_what_they_did_and_exit_accordingly(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """A night of an operator: look, apply twice, take a target and its zone out, bring them back.

    With the zone out, `target out` must still take: the target has to stay out when the zone comes
    back. When the table gives no word the status says so and the change id is told.
    """

    async def work() -> None:
        settings = "config_write_timeout = 1.0"
        async with start_fleet(tmp_path, instances=1, core_settings=settings) as cluster:
            assert cluster.platform is not None
            node = next(iter(cluster.instances.values()))
            monkeypatch.setenv(SECRET_ENV, SECRET)
            operate = Operator(node, capsys)
            status, said = await operate("apply", str(TENGRI), "--yes")
            assert (status, said) == (ExitStatus.DONE, "nothing to change; version 1 is in force\n")
            changed = tmp_path / "changed.toml"
            text = (TENGRI / "fleet.toml").read_text("utf-8").replace("1.25", "1.5")
            changed.write_text(text, "utf-8")
            status, said = await operate("apply", str(changed))
            assert status == ExitStatus.DECLINED and "bound: 1.25 -> 1.5" in said
            assert await read_version(node) == 1

            assert (await operate("zone", "out", "nowhere"))[0] == ExitStatus.FAILED
            assert (await operate("zone", "out", "almaty-b"))[0] == ExitStatus.DONE
            status, said = await operate("zone", "out", "almaty-b")
            assert status == ExitStatus.DONE and "is out of service already" in said
            status, said = await operate("target", "out", "engine-b1")
            assert status == ExitStatus.DONE and "accepted as version 3" in said, said
            status, said = await operate("apply", str(TENGRI), "--yes")
            assert said.startswith("nothing to change"), said
            assert (await operate("zone", "in", "almaty-b"))[0] == ExitStatus.DONE
            targets = {view.id: view.in_service for view in await show(node, "targets")}
            assert not targets["engine-b1"] and targets["booking-b1"]
            assert (await operate("target", "in", "engine-b1"))[0] == ExitStatus.DONE

            for what in ("config", "zones", "targets", "instances"):
                status, said = await operate("show", what, "--json")
                assert status == ExitStatus.DONE and json.loads(said)
                assert (await operate("show", what))[0] == ExitStatus.DONE

            await cluster.set_faults(cluster.platform, outage=True)
            command = ["zone", "out", "almaty-a", "--change-id", "night-1"]
            status, said = await operate(*command)
            assert status == ExitStatus.UNKNOWN and "--change-id night-1" in said
            await cluster.set_faults(cluster.platform, outage=False)
            assert (await operate(*command))[0] == ExitStatus.DONE

            async def is_out() -> bool:
                return not await is_zone_in(node, "almaty-a")

            await wait_until("zone a is out", is_out, 5.0)
            monkeypatch.setenv(SECRET_ENV, "not the secret of this fleet")
            status, said = await operate("show", "zones")
            assert status == ExitStatus.FAILED and "the operator key does not fit" in said

    run(work)
