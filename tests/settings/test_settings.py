"""Tests that every error in a settings file is reported and that no output shows a secret."""

from __future__ import annotations

from pathlib import Path

import pytest

from rhubarbbend.cli import ExitStatus, main
from rhubarbbend.cli._options import make_parser
from rhubarbbend.settings import load_settings, read_operator_secret

SECRET = "a-very-secret-word-of-the-fleet"
VALID = """
[instance]
id = "e1"
zone = "a"
host = "127.0.0.1"
http_port = 1001
peer_port = 1002
operator_port = 1003
[platform]
address = "127.0.0.1:900"
[secret]
env = "FLEET_SECRET"
"""
INVALID = """
[instance]
id = "e/1"
zone = ""
host = "localhost"
http_port = true
peer_port = 70000
colour = "red"
[platform]
address = "nowhere"
timeout = nan
[secret]
env = 3
[limits]
max_body_bytes = 0
[[seeds]]
id = "e2"
zone = "a"
address = "x:y"
"""


@pytest.fixture
def fleet_secret(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("FLEET_SECRET", SECRET)


def run_check_settings(
    tmp_path: Path, text: str, capsys: pytest.CaptureFixture[str]
) -> tuple[int, str]:
    path = tmp_path / "instance.toml"
    path.write_text(text, "utf-8")
    status = main(["check-settings", str(path)])
    output = capsys.readouterr()
    assert SECRET not in output.out + output.err
    return status, output.out + output.err


def test_valid_settings_are_accepted(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], fleet_secret: None
) -> None:
    assert run_check_settings(tmp_path, VALID, capsys)[0] == ExitStatus.DONE


def test_every_error_is_reported_with_file_key_value_and_expectation(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], fleet_secret: None
) -> None:
    status, printed = run_check_settings(tmp_path, INVALID, capsys)
    assert status == ExitStatus.USAGE
    for message in (
        "instance.toml: instance.id: expected a name without '/' and '|', got 'e/1'",
        "instance.zone: expected a name",
        "instance.host: expected an IP number, got 'localhost'",
        "instance.http_port: expected an integer, got True",
        "instance.peer_port: expected a port from 0 to 65535, got 70000",
        "instance.operator_port: missing; it is required",
        "instance.colour: unknown key",
        "platform.address: expected host:port, got 'nowhere'",
        "platform.timeout: expected a number above 0, got nan",
        "secret.env: expected a string, got 3",
        "limits.max_body_bytes: expected a number above 0, got 0",
        "seeds[0].address: expected host:port, got 'x:y'",
    ):
        assert message in printed, f"{message}\n{printed}"


def test_errors_that_concern_several_keys_are_all_reported(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], fleet_secret: None
) -> None:
    text = VALID.replace("1003", "1001").replace("FLEET_SECRET", "NOT_SET")
    text += (
        'kind = "x"\n'.join(["", ""])
        + "[core]\nheartbeat_interval = -1\npeer_silence = inf\nmax_attempts = 0\n"
        + '[[seeds]]\nid = "e1"\nzone = "a"\naddress = "127.0.0.1:1"\n'
    )
    text = text.replace('address = "127.0.0.1:900"', 'address = "127.0.0.1:900"\nkind = "paper"')
    text = text.replace('kind = "x"\n', "")
    status, printed = run_check_settings(tmp_path, text, capsys)
    assert status == ExitStatus.USAGE
    for message in (
        "core.heartbeat_interval: expected a number above 0, got -1",
        "core.peer_silence: expected a number above 0, got inf",
        "core.max_attempts: expected a number above 0, got 0",
        "instance.operator_port: expected another port than instance.http_port, got 1001",
        "seeds[0].id: expected another instance, got 'e1'",
        "platform.kind: expected one of http, got 'paper'",
        "secret: expected at least 16 bytes in environment variable NOT_SET",
    ):
        assert message in printed, f"{message}\n{printed}"


def test_a_secret_that_is_short_or_given_twice_is_rejected_without_showing_it(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("FLEET_SECRET", "tiny-word")
    status, printed = run_check_settings(tmp_path, VALID, capsys)
    assert status == ExitStatus.USAGE and "tiny-word" not in printed
    both = VALID.replace('env = "FLEET_SECRET"', 'env = "FLEET_SECRET"\nfile = "/x"')
    status, printed = run_check_settings(tmp_path, both, capsys)
    assert "expected exactly one of secret.file and secret.env" in printed


def test_operators_can_have_a_separate_secret(
    tmp_path: Path, fleet_secret: None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Operators' machines need not hold the fleet's secret, which also admits instances."""
    path = tmp_path / "instance.toml"
    path.write_text(VALID, "utf-8")
    settings, secret = load_settings(path)
    assert read_operator_secret(settings.operators, secret) == secret == SECRET.encode()
    monkeypatch.setenv("OPERATOR_SECRET", "another-secret-word")
    path.write_text(VALID + '[operators]\nenv = "OPERATOR_SECRET"\n', "utf-8")
    settings, secret = load_settings(path)
    assert read_operator_secret(settings.operators, secret) == b"another-secret-word"


def test_help_and_settings_show_no_secret(tmp_path: Path, fleet_secret: None) -> None:
    path = tmp_path / "instance.toml"
    path.write_text(VALID, "utf-8")
    settings, _ = load_settings(path)
    assert SECRET not in repr(settings) + make_parser().format_help()
