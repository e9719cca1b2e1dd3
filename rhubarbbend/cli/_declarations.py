"""Reads declaration files and computes how they differ from the configuration in force.

A declaration file is TOML with arrays of tables such as `[[service]]` or `[[zone]]`; each table
declares one item of the fleet's configuration.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, Final

import attrs
import msgspec

from rhubarbbend.core.accepted._validation import (
    check_declaration,
    find_problems,
    find_unknown_fields,
)
from rhubarbbend.core.configuration import (
    KINDS,
    Configuration,
    Declaration,
    Item,
    TargetState,
    Zone,
    decode_declaration,
)
from rhubarbbend.operators import find_unknown_target_kinds
from rhubarbbend.settings import SettingError, SettingsInvalid

# Kinds that operators also take in and out of service by command. An item of such a kind that no
# file declares stays as it is.
KINDS_WITH_SERVICE_STATE: Final = ("zone", "target")
# The kind and name of a declaration.
Key = tuple[str, str]


@attrs.define(slots=True, frozen=True)
class Declared:
    """One declaration of a file.

    `sets_in_service` is false if the file leaves `in_service` at its current value.
    """

    value: Declaration
    sets_in_service: bool = True


@attrs.define(slots=True, frozen=True)
class Difference:
    """One declaration to write, or to remove if `value` is empty.

    `sign` is + for an added, ~ for a changed and - for a removed declaration; `value` is its JSON.
    """

    sign: str
    kind: str
    name: str
    value: bytes
    detail: str = ""


def read_declarations(path: Path) -> dict[Key, Declared]:
    """Return the declarations of a file or of every *.toml file of a folder.

    Raises `SettingsInvalid` with every error if a file cannot be read or a declaration is invalid.
    """
    files = sorted(path.glob("*.toml")) if path.is_dir() else [path]
    declared: dict[Key, Declared] = {}
    errors: list[SettingError] = []
    if not files:
        errors.append(SettingError(str(path), "(folder)", "expected at least one *.toml file"))
    for file in files:
        _read_file(file, declared, errors)
    if errors:
        raise SettingsInvalid(errors)
    return declared


def _read_file(file: Path, declared: dict[Key, Declared], errors: list[SettingError]) -> None:
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
            problems = _read_entry(kind, entry, declared)
            key = f"{kind}[{index}]"
            errors.extend(SettingError(str(file), key, problem) for problem in problems)


def _read_entry(kind: str, entry: Any, declared: dict[Key, Declared]) -> list[str]:
    """Add one table of a file to `declared` and return the problems found in it."""
    if not isinstance(entry, dict):
        return ["expected a table"]
    problems = find_unknown_fields(kind, entry)
    try:
        value = msgspec.convert(entry, type=KINDS[kind])
    except msgspec.ValidationError as error:
        return [*problems, str(error)]
    problems.extend(check_declaration(value))
    if (kind, value.name) in declared:
        problems.append(f"{kind} {value.name!r} is declared twice")
    declared[(kind, value.name)] = Declared(value, _sets_in_service(kind, entry))
    return problems


def _sets_in_service(kind: str, entry: dict[str, Any]) -> bool:
    return kind not in KINDS_WITH_SERVICE_STATE or "in_service" in entry


def find_differences(current: dict[Key, bytes], declared: dict[Key, Declared]) -> list[Difference]:
    """Return the changes that bring the current configuration in line with the declarations.

    An operator may have taken a zone or target out of service by command, for example during an
    outage. A file that does not set `in_service` must not put it back into service as a side
    effect, so the current value is kept, and zones and targets that are not declared are not
    removed. Every other item that is not declared is removed.
    """
    differences: list[Difference] = []
    for (kind, name), entry in sorted(declared.items(), key=lambda pair: pair[0]):
        stored = current.get((kind, name), b"")
        previous = _decode(kind, stored)
        wanted = entry.value if entry.sets_in_service else _keep_in_service(entry.value, previous)
        if wanted == previous:
            continue
        sign = "~" if stored else "+"
        detail = _describe(previous, wanted) if previous is not None else ""
        differences.append(Difference(sign, kind, name, msgspec.json.encode(wanted), detail))
    for kind, name in sorted(current):
        if (kind, name) not in declared and kind not in KINDS_WITH_SERVICE_STATE:
            differences.append(Difference("-", kind, name, b""))
    return differences


def check_differences(current: dict[Key, bytes], differences: list[Difference]) -> list[str]:
    """Return the problems that the configuration would have after the differences are applied."""
    configuration = Configuration()
    items = [Item(kind, name, 1, value) for (kind, name), value in current.items()]
    configuration.apply(1, items)
    changes = [(entry.kind, entry.name, entry.value) for entry in differences]
    return [*find_problems(configuration, changes), *find_unknown_target_kinds(changes)]


def _decode(kind: str, stored: bytes) -> Declaration | None:
    """Decode a stored declaration; returns None if it is missing or cannot be decoded.

    Declarations are compared in decoded form, because a stored one may omit fields that have their
    default value, which a comparison of the encoded forms would take for a difference.
    """
    try:
        return decode_declaration(kind, stored) if stored else None
    except (msgspec.MsgspecError, KeyError):
        return None


def _keep_in_service(wanted: Declaration, previous: Declaration | None) -> Declaration:
    if isinstance(previous, Zone | TargetState):
        return msgspec.structs.replace(wanted, in_service=previous.in_service)
    return wanted


def _describe(previous: Declaration, wanted: Declaration) -> str:
    before = msgspec.to_builtins(previous)
    after = msgspec.to_builtins(wanted)
    changed = [key for key in after if before.get(key) != after[key]]
    return ", ".join(f"{key}: {before.get(key)!r} -> {after[key]!r}" for key in changed)
