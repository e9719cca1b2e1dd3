"""Reads declaration files and works out what they change."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import attrs
import msgspec

from rhubarbbend.core.configuration import KINDS
from rhubarbbend.settings import SettingError, SettingsInvalid


@attrs.define(slots=True, frozen=True)
class Difference:
    """One declaration to write, or to remove if `value` is empty; `sign` is +, ~ or -."""

    sign: str
    kind: str
    name: str
    value: bytes
    detail: str = ""


def read_declarations(path: Path) -> dict[tuple[str, str], bytes]:
    """Read a file, or every *.toml of a folder; raises `SettingsInvalid` with every error."""
    files = sorted(path.glob("*.toml")) if path.is_dir() else [path]
    declared: dict[tuple[str, str], bytes] = {}
    errors: list[SettingError] = []
    if not files:
        errors.append(SettingError(str(path), "(folder)", "expected at least one *.toml file"))
    for file in files:
        _read_file(file, declared, errors)
    if errors:
        raise SettingsInvalid(errors)
    return declared


def _read_file(
    file: Path, declared: dict[tuple[str, str], bytes], errors: list[SettingError]
) -> None:
    try:
        data = tomllib.loads(file.read_text("utf-8"))
    except (OSError, ValueError) as error:
        errors.append(SettingError(str(file), "(file)", str(error)))
        return
    for kind, entries in data.items():
        if kind not in KINDS or not isinstance(entries, list):
            known = ", ".join(f"[[{name}]]" for name in KINDS)
            errors.append(SettingError(str(file), kind, f"expected one of {known}"))
            continue
        for index, entry in enumerate(entries):
            _read_entry(f"{kind}[{index}]", kind, entry, file, declared, errors)


def _read_entry(
    key: str,
    kind: str,
    entry: Any,
    file: Path,
    declared: dict[tuple[str, str], bytes],
    errors: list[SettingError],
) -> None:
    try:
        value = msgspec.convert(entry, type=KINDS[kind])
    except msgspec.ValidationError as error:
        errors.append(SettingError(str(file), key, str(error)))
        return
    if (kind, value.name) in declared:
        errors.append(SettingError(str(file), key, f"{kind} {value.name!r} is declared twice"))
        return
    declared[(kind, value.name)] = msgspec.json.encode(value)


def find_differences(
    current: dict[tuple[str, str], bytes], declared: dict[tuple[str, str], bytes]
) -> list[Difference]:
    """Give what has to change for the declarations to be in force.

    Zones and targets that operators took out of service by command and that are not declared are
    left as they are; everything else that is not declared is removed.
    """
    found: list[Difference] = []
    for (kind, name), value in sorted(declared.items()):
        former = current.get((kind, name))
        if former is None:
            found.append(Difference("+", kind, name, value))
        elif msgspec.json.decode(former) != msgspec.json.decode(value):
            found.append(Difference("~", kind, name, value, _describe(former, value)))
    for kind, name in sorted(current):
        if (kind, name) not in declared and kind not in ("zone", "target"):
            found.append(Difference("-", kind, name, b""))
    return found


def _describe(former: bytes, value: bytes) -> str:
    before: dict[str, Any] = msgspec.json.decode(former)
    after: dict[str, Any] = msgspec.json.decode(value)
    changed = [key for key in after if before.get(key) != after[key]]
    return ", ".join(f"{key}: {before.get(key)!r} -> {after[key]!r}" for key in changed)
