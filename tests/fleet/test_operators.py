"""The operators' commands against real instances: exit statuses and output."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from loadtool import Node
from loadtool._cluster import HOST, SECRET, SECRET_ENV
from rhubarbbend.cli import ExitStatus, main
from tests.fleet.harness import TENGRI_DIR, run_with_timeout, start_fleet, wait_until
from tests.fleet.instance_helpers import fetch_view, is_zone_in_service, read_config_version


class CommandRunner:
    """Run operator commands in this process and return their exit status and output."""

    def __init__(self, node: Node, capsys: pytest.CaptureFixture[str]) -> None:
        self._options = ["--instance", f"{HOST}:{node.operator_port}", "--secret-env", SECRET_ENV]
        self._capsys = capsys

    async def __call__(self, *arguments: str) -> tuple[int, str]:
        status = await asyncio.to_thread(main, [*arguments, *self._options])
        captured = self._capsys.readouterr()
        return status, captured.out + captured.err


def test_commands_report_what_they_did_and_set_the_exit_status(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """An operator applies changes, takes a target and its zone out and back in, and shows views.

    With the zone out, `target out` must still be accepted, because the target has to stay out when
    the zone returns. When the table does not answer, the exit status says that the outcome is
    unknown and the output gives the change id.
    """

    async def work() -> None:
        settings = "config_write_timeout = 1.0"
        async with start_fleet(tmp_path, instances=1, core_settings=settings) as cluster:
            assert cluster.platform is not None
            node = next(iter(cluster.instances.values()))
            monkeypatch.setenv(SECRET_ENV, SECRET)
            run_operator = CommandRunner(node, capsys)
            status, output = await run_operator("apply", str(TENGRI_DIR), "--yes")
            assert (status, output) == (
                ExitStatus.DONE,
                "nothing to change; version 1 is in force\n",
            )
            changed_file = tmp_path / "changed.toml"
            text = (TENGRI_DIR / "fleet.toml").read_text("utf-8").replace("1.25", "1.5")
            changed_file.write_text(text, "utf-8")
            status, output = await run_operator("apply", str(changed_file))
            assert status == ExitStatus.DECLINED and "bound: 1.25 -> 1.5" in output
            assert await read_config_version(node) == 1

            assert (await run_operator("zone", "out", "nowhere"))[0] == ExitStatus.FAILED
            assert (await run_operator("zone", "out", "almaty-b"))[0] == ExitStatus.DONE
            status, output = await run_operator("zone", "out", "almaty-b")
            assert status == ExitStatus.DONE and "is out of service already" in output
            status, output = await run_operator("target", "out", "engine-b1")
            assert status == ExitStatus.DONE and "accepted as version 3" in output, output
            status, output = await run_operator("apply", str(TENGRI_DIR), "--yes")
            assert output.startswith("nothing to change"), output
            assert (await run_operator("zone", "in", "almaty-b"))[0] == ExitStatus.DONE
            targets = {view.id: view.in_service for view in await fetch_view(node, "targets")}
            assert not targets["engine-b1"] and targets["booking-b1"]
            assert (await run_operator("target", "in", "engine-b1"))[0] == ExitStatus.DONE

            for view_kind in ("config", "zones", "targets", "instances"):
                status, output = await run_operator("show", view_kind, "--json")
                assert status == ExitStatus.DONE and json.loads(output)
                assert (await run_operator("show", view_kind))[0] == ExitStatus.DONE

            await cluster.set_faults(cluster.platform, outage=True)
            command = ["zone", "out", "almaty-a", "--change-id", "night-1"]
            status, output = await run_operator(*command)
            assert status == ExitStatus.UNKNOWN and "--change-id night-1" in output
            await cluster.set_faults(cluster.platform, outage=False)
            assert (await run_operator(*command))[0] == ExitStatus.DONE

            async def is_out_of_service() -> bool:
                return not await is_zone_in_service(node, "almaty-a")

            await wait_until("zone a is out of service", is_out_of_service, 5.0)
            monkeypatch.setenv(SECRET_ENV, "not the secret of this fleet")
            status, output = await run_operator("show", "zones")
            assert status == ExitStatus.FAILED and "the operator key does not fit" in output
            for path in [*tmp_path.glob("*.log"), *tmp_path.glob("*.err")]:
                assert SECRET not in path.read_text("utf-8"), f"{path.name} shows the secret"

    run_with_timeout(work)
