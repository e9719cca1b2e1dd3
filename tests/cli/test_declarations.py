"""Tests of declaration files: which changes they result in and which errors are reported."""

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
from tests.fleet.harness import TENGRI_DIR

KEY_DIGEST = "a" * 64


def write_file(folder: Path, text: str) -> Path:
    path = folder / "fleet.toml"
    path.write_text(text, "utf-8")
    return path


def test_applying_twice_changes_nothing_although_defaults_are_omitted() -> None:
    """An older version of the program wrote the configuration, without a field added since.

    The absent field has its default value, so it must not show up as a difference.
    """
    declared = read_declarations(TENGRI_DIR)
    differences = find_differences({}, declared)
    current = {(d.kind, d.name): d.value for d in differences}
    assert len(differences) == len(declared) and not check_differences({}, differences)
    assert find_differences(current, declared) == []
    without_defaults = dict(current)
    for key, value in current.items():
        fields = msgspec.json.decode(value)
        fields.pop("max_queue", None)
        fields.pop("weight", None) if fields.get("weight") == 1 else None
        without_defaults[key] = msgspec.json.encode(fields)
    assert [d.name for d in find_differences(without_defaults, declared) if d.kind == "zone"] == []
    assert find_differences(without_defaults, declared) == []


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
def test_applying_files_does_not_undo_a_command_that_took_a_zone_out_of_service(
    tmp_path: Path, text: str, expected: list[str]
) -> None:
    """An operator took zone a out of service by command; later the usual files are applied.

    The zone must not be put back into service as a side effect. Only a file that sets `in_service`
    itself may change it.
    """
    current = {
        ("zone", "a"): b'{"name": "a", "in_service": false}',
        ("target", "t"): b'{"name": "t", "in_service": false}',
    }
    differences = find_differences(current, read_declarations(write_file(tmp_path, text)))
    assert [f"{d.sign} {d.kind} {d.name} {d.detail}" for d in differences] == expected


@pytest.mark.parametrize("folder", sorted(TENGRI_DIR.parent.iterdir()), ids=lambda p: p.name)
def test_the_example_declarations_are_valid(folder: Path) -> None:
    differences = find_differences({}, read_declarations(folder))
    assert differences and check_differences({}, differences) == []


def test_a_model_that_is_no_longer_declared_is_removed_but_a_zone_is_not(tmp_path: Path) -> None:
    current = {("model", "m"): b'{"name": "m", "service": "s"}', ("zone", "a"): b'{"name": "a"}'}
    differences = find_differences(current, read_declarations(write_file(tmp_path, "")))
    assert [(d.sign, d.kind, d.name, d.value) for d in differences] == [("-", "model", "m", b"")]


def test_every_error_of_a_file_is_reported(tmp_path: Path) -> None:
    text = f"""
[[account]]
name = "x"
key_digest = "short"
[[account]]
name = "bad name/with | signs"
key_digest = "{KEY_DIGEST}"
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
        read_declarations(write_file(tmp_path, text))
    message = str(invalid.value)
    for expected_text in (
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
        assert expected_text in message, expected_text


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
            f'[[account]]\nname = "x"\nkey_digest = "{KEY_DIGEST}"\n'
            f'[[account]]\nname = "y"\nkey_digest = "{KEY_DIGEST}"\n',
            "its key_digest is that of account 'x'",
        ),
    ],
)
def test_references_and_duplicate_keys_are_checked_before_sending(
    tmp_path: Path, text: str, problem: str
) -> None:
    differences = find_differences({}, read_declarations(write_file(tmp_path, text)))
    assert any(problem in reported for reported in check_differences({}, differences))


def test_removing_a_service_that_a_model_names_is_rejected(tmp_path: Path) -> None:
    """Requests for a model whose service was removed would fail with unknown_service."""
    current = {("service", "s"): b'{"name": "s"}'}
    text = '[[model]]\nname = "m"\nservice = "s"\n'
    differences = find_differences(current, read_declarations(write_file(tmp_path, text)))
    assert check_differences(current, differences) == ["model 'm': no service 's' is declared"]


def test_an_invalid_file_is_a_usage_error_and_sends_nothing(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("KEY", "0123456789abcdef")
    path = write_file(tmp_path, "[[account]]\nname = 3\n")
    command = ["apply", str(path), "--instance", "127.0.0.1:1", "--secret-env", "KEY", "--yes"]
    assert main(command) == ExitStatus.USAGE
    assert "account[0]" in capsys.readouterr().err


def test_an_unreachable_instance_is_reported_as_a_failure(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("KEY", "0123456789abcdef")
    command = ["show", "zones", "--instance", "127.0.0.1:1", "--secret-env", "KEY"]
    assert main(command) == ExitStatus.FAILED
    assert "rhubarbbend:" in capsys.readouterr().err
