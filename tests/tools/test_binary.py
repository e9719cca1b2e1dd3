"""The one file: built once, run as an operator would run it, away from this checkout."""

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

START_TIMEOUT = 30.0
SECRET = "a secret of sixteen bytes"


@pytest.fixture(scope="session")
def program(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Build the file."""
    output = tmp_path_factory.mktemp("binary") / "rhubarbbend"
    binary.build_binary(output)
    return output


def _make_environment(folder: Path) -> dict[str, str]:
    """Nothing of this checkout or its environment: PATH finds the bare Python 3.11."""
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
    """List the ids of the processes whose parent is `pid`, and of its threads."""
    found = []
    for entry in Path("/proc").iterdir():
        if not entry.name.isdigit():
            continue
        try:
            fields = (entry / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[1]) == pid:
            found.append(entry.name)
    return found


def _ask(port: int, path: str) -> int:
    try:
        with urllib.request.urlopen(f"http://127.0.0.1:{port}{path}", timeout=1.0) as answer:
            return int(answer.status)
    except OSError:
        return 0


def test_serves_as_one_process(program: Path, tmp_path: Path) -> None:
    """The file serves in the process that was started: a signal to it reaches the instance.

    A bootstrapper that stayed as a parent would take the operators' TERM for itself, and the
    requests in flight would be cut.
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
            deadline = time.monotonic() + START_TIMEOUT
            while _ask(port, "/healthz") != 200 and process.poll() is None:
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


def test_checks_settings(program: Path, tmp_path: Path) -> None:
    good = _write_settings(tmp_path, 8080)
    bad = tmp_path / "bad.toml"
    bad.write_text("[instance]\nid = 7\n", "utf-8")
    for path, status in ((good, 0), (bad, 2)):
        done = subprocess.run(
            [str(program), "check-settings", str(path)],
            cwd=tmp_path,
            env=_make_environment(tmp_path),
            capture_output=True,
            text=True,
            timeout=30,
            check=False,
        )
        assert done.returncode == status, done.stderr


def test_refuses_a_library_that_is_not_pinned() -> None:
    """A library that another one needs would be missing from the file only when it runs."""
    with pytest.raises(binary.BuildError, match="needs"):
        binary.check_closed({"thriftpy2"})


def test_refuses_another_version_than_pinned(tmp_path: Path) -> None:
    with pytest.raises(binary.BuildError, match="expected 0.0.1"):
        binary.copy_library("h11", "0.0.1", tmp_path)


def test_holds_the_schema_files(tmp_path: Path) -> None:
    binary.collect_site(tmp_path)
    schema = tmp_path / "rhubarbbend" / "schema"
    assert {path.suffix for path in schema.iterdir()} >= {".thrift"}
    assert os.path.exists(tmp_path / "rhubarbbend" / "py.typed")
