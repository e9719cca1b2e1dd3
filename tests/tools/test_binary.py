"""Tests of the single-file binary, built once and run outside this checkout, as operators do."""

from __future__ import annotations

import os
import subprocess
import sys
import time
import urllib.request
from pathlib import Path

import pytest

from loadtool._processes import pick_port
from tools import binary

START_TIMEOUT_S = 30.0
SECRET = "a secret of sixteen bytes"


@pytest.fixture(scope="session")
def program(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Build the binary and return its path."""
    output = tmp_path_factory.mktemp("binary") / "rhubarbbend"
    binary.build_binary(output)
    return output


def _make_environment(folder: Path) -> dict[str, str]:
    """Return an environment without this checkout; PATH finds only the plain Python 3.11."""
    base = Path(sys.base_prefix) / "bin"
    return {
        "PATH": f"{base}:/usr/bin:/bin",
        "HOME": str(folder),
        "SHIV_ROOT": str(folder / "unpacked"),
        "RHUBARBBEND_SECRET": SECRET,
    }


def _write_settings(folder: Path, port: int) -> Path:
    path = folder / "settings.toml"
    path.write_text(
        '[instance]\nid = "one"\nzone = "a"\nhost = "127.0.0.1"\n'
        f"http_port = {port}\npeer_port = {pick_port()}\noperator_port = {pick_port()}\n"
        '[platform]\naddress = "127.0.0.1:9"\n[secret]\nenv = "RHUBARBBEND_SECRET"\n'
        "[core]\nbalancer_lag = 0.1\n",
        "utf-8",
    )
    return path


def _list_children(pid: int) -> list[str]:
    """Return the ids of the processes that process `pid` or one of its threads started."""
    process_ids = []
    for entry in Path("/proc").iterdir():
        if not entry.name.isdigit():
            continue
        try:
            fields = (entry / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            process_ids.append(entry.name)
    return process_ids


def _get_status(port: int, path: str) -> int:
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=1.0) as response:
            return int(response.status)
    except OSError:
        return 0


def test_serves_in_a_single_process(program: Path, tmp_path: Path) -> None:
    """The binary serves in the process that was started, so that signals reach the instance.

    If a bootstrap process stayed as the parent, it would receive the operators' SIGTERM instead
    of the instance, and in-flight requests would be cut.
    """
    port = pick_port()
    settings = _write_settings(tmp_path, port)
    command = [str(program), "serve", "--settings", str(settings)]
    with (
        (tmp_path / "log").open("wb") as log,
        subprocess.Popen(
            command, cwd=tmp_path, env=_make_environment(tmp_path), stdout=log, stderr=log
        ) as process,
    ):
        try:
            deadline = time.monotonic() + START_TIMEOUT_S
            while _get_status(port, "/healthz") != 200 and process.poll() is None:
                assert time.monotonic() < deadline, (tmp_path / "log").read_text()
                time.sleep(0.05)
            assert process.poll() is None, (tmp_path / "log").read_text()
            assert _list_children(process.pid) == []
            assert len(list(Path(f"/proc/{process.pid}/task").iterdir())) == 1
            process.terminate()
            assert process.wait(15.0) == 0
        finally:
            process.kill()
    written = {path.name for path in tmp_path.iterdir()}
    assert written == {"log", "settings.toml", "unpacked"}


def test_check_settings_exit_status(program: Path, tmp_path: Path) -> None:
    valid = _write_settings(tmp_path, 8080)
    invalid = tmp_path / "bad.toml"
    invalid.write_text("[instance]\nid = 7\n", "utf-8")
    for path, status in ((valid, 0), (invalid, 2)):
        process = subprocess.run(
            [str(program), "check-settings", str(path)],
            cwd=tmp_path,
            env=_make_environment(tmp_path),
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert process.returncode == status, process.stderr


def test_unpinned_dependency_is_an_error() -> None:
    """A dependency that is not pinned would be missing from the binary, seen only at run time."""
    with pytest.raises(binary.BuildError, match="needs"):
        binary.check_all_dependencies_pinned({"thriftpy2"})


def test_other_version_than_pinned_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(binary.BuildError, match="expected 0.0.1"):
        binary.copy_library("h11", "0.0.1", tmp_path)


def test_contains_schema_files(tmp_path: Path) -> None:
    binary.copy_site_packages(tmp_path)
    schema = tmp_path / "rhubarbbend" / "schema"
    assert {path.suffix for path in schema.iterdir()} >= {".thrift"}
    assert os.path.exists(tmp_path / "rhubarbbend" / "py.typed")
