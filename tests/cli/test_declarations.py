"""Declaration files: what they change, and what is wrong with them."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from rhubarbbend.cli import ExitStatus, main
from rhubarbbend.cli._declarations import (
    check_differences,
    find_differences,
    read_declarations,
)
from rhubarbbend.settings import SettingsInvalid
from tests.fleet.harness import TENGRI

DIGEST = "a" * 64


def write(folder: Path, text: str) -> Path:
    path = folder / "fleet.toml"
    path.write_text(text, "utf-8")
    return path


def test_applying_twice_changes_nothing_although_defaults_are_omitted() -> None:
    """What is in force was written by a program that did not know of a field added since."""
    declared = read_declarations(TENGRI)
    first = find_differences({}, declared)
    current = {(d.kind, d.name): d.value for d in first}
    assert len(first) == len(declared) and not check_differences({}, first)
    assert find_differences(current, declared) == []
    older = dict(current)
    for key, value in current.items():
        fields = msgspec.json.decode(value)
        fields.pop("max_queue", None)
        fields.pop("weight", None) if fields.get("weight") == 1 else None
        older[key] = msgspec.json.encode(fields)
    assert [d.name for d in find_differences(older, declared) if d.kind == "zone"] == []
    assert find_differences(older, declared) == []


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("", []),
        ('[[zone]]\nname = "a"\n', []),
        ('[[zone]]\nname = "a"\nin_service = true\n', ["~ zone a in_service: False -> True"]),
        ('[[zone]]\nname = "a"\nin_service = false\n', []),
        ('[[target]]\nname = "t"\n', []),
    ],
)
def test_a_zone_taken_out_by_command_stays_out(
    tmp_path: Path, text: str, expected: list[str]
) -> None:
    """Operators took zone a out in the night; in the morning somebody applies the usual files.

    The zone must not get work again in passing. Only a file that says `in_service` itself moves it.
    """
    current = {
        ("zone", "a"): b'{"name": "a", "in_service": false}',
        ("target", "t"): b'{"name": "t", "in_service": false}',
    }
    found = find_differences(current, read_declarations(write(tmp_path, text)))
    assert [f"{d.sign} {d.kind} {d.name} {d.detail}" for d in found] == expected


def test_what_is_no_longer_declared_is_removed(tmp_path: Path) -> None:
    current = {("model", "m"): b'{"name": "m", "service": "s"}', ("zone", "a"): b'{"name": "a"}'}
    found = find_differences(current, read_declarations(write(tmp_path, "")))
    assert [(d.sign, d.kind, d.name, d.value) for d in found] == [("-", "model", "m", b"")]


def test_every_error_of_a_file_is_told_at_once(tmp_path: Path) -> None:
    text = f"""
[[account]]
name = "x"
key_digest = "short"
[[account]]
name = "bad name/with | signs"
key_digest = "{DIGEST}"
wieght = 3
[[service]]
name = "s"
bound = 0.9
floor = 0
policy = "magic"
[[service.operations]]
path = "no-slash"
idempotant = true
[[zone]]
name = "a"
[[zone]]
name = "a"
[[wrong]]
"""
    with pytest.raises(SettingsInvalid) as invalid:
        read_declarations(write(tmp_path, text))
    told = str(invalid.value)
    for words in (
        "account[0]: key_digest: expected 64",
        "account[1]: unknown field 'wieght'",
        "account[1]: name: expected letters",
        "service[0]: operations: unknown field 'idempotant'",
        "service[0]: bound: expected a number above 1, got 0.9",
        "service[0]: floor: expected at least 1, got 0",
        "service[0]: policy: expected one of affinity",
        "expected a path that begins with /",
        "zone[1]: zone 'a' is declared twice",
        "wrong: expected one of [[account]]",
    ):
        assert words in told, words


@pytest.mark.parametrize(
    ("text", "problem"),
    [
        ('[[model]]\nname = "m"\nservice = "none"\n', "no service 'none' is declared"),
        (
            '[[service]]\nname = "s"\n[[model]]\nname = "m"\nservice = "s"\nadapter_of = "b"\n',
            "no model 'b' is declared",
        ),
        ('[[service]]\nname = "s"\nkind = "gpu"\n', "kind: expected one of engine, plain"),
        (
            f'[[account]]\nname = "x"\nkey_digest = "{DIGEST}"\n'
            f'[[account]]\nname = "y"\nkey_digest = "{DIGEST}"\n',
            "its key_digest is that of account 'x'",
        ),
    ],
)
def test_references_and_shared_keys_are_checked_before_sending(
    tmp_path: Path, text: str, problem: str
) -> None:
    differences = find_differences({}, read_declarations(write(tmp_path, text)))
    assert any(problem in found for found in check_differences({}, differences))


def test_removing_a_service_that_a_model_needs_is_refused(tmp_path: Path) -> None:
    """The service goes and a model still names it: its callers would get unknown_service."""
    current = {("service", "s"): b'{"name": "s"}'}
    text = '[[model]]\nname = "m"\nservice = "s"\n'
    found = find_differences(current, read_declarations(write(tmp_path, text)))
    assert check_differences(current, found) == ["model 'm': no service 's' is declared"]


def test_a_wrong_file_is_a_usage_error_and_sends_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("KEY", "0123456789abcdef")
    path = write(tmp_path, "[[account]]\nname = 3\n")
    command = ["apply", str(path), "--instance", "127.0.0.1:1", "--secret-env", "KEY", "--yes"]
    assert main(command) == ExitStatus.USAGE
    assert "account[0]" in capsys.readouterr().err


def test_an_instance_that_cannot_be_reached_is_a_failure(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("KEY", "0123456789abcdef")
    command = ["show", "zones", "--instance", "127.0.0.1:1", "--secret-env", "KEY"]
    assert main(command) == ExitStatus.FAILED
    assert "rhubarbbend:" in capsys.readouterr().err
