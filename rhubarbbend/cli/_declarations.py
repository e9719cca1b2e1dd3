"""Reads declaration files and works out what they change."""

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

# Kinds that operators also move by command; a file that does not mention one leaves it as it is.
MOVED_KINDS: Final = ("zone", "target")
Key = tuple[str, str]


@attrs.define(slots=True, frozen=True)
class Declared:
    """One declaration of a file; `moves` unless it leaves in_service as it is in force."""

    value: Declaration
    moves: bool = True


@attrs.define(slots=True, frozen=True)
class Difference:
    """One declaration to write, or to remove if `value` is empty; `sign` is +, ~ or -."""

    sign: str
    kind: str
    name: str
    value: bytes
    detail: str = ""


def read_declarations(path: Path) -> dict[Key, Declared]:
    """Read a file, or every *.toml of a folder; raises `SettingsInvalid` with every error."""
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
    """Take one table of a file into `declared`; lists what is wrong with it."""
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
    declared[(kind, value.name)] = Declared(value, _is_moved(kind, entry))
    return problems


def _is_moved(kind: str, entry: dict[str, Any]) -> bool:
    return kind not in MOVED_KINDS or "in_service" in entry


def find_differences(current: dict[Key, bytes], declared: dict[Key, Declared]) -> list[Difference]:
    """Give what has to change for the declarations to be in force.

    An operator may have taken a zone or target out of service by command, in an outage perhaps. A
    file that says nothing of `in_service` must not put it back in passing, so it leaves that as
    it is; and zones and targets that are not declared at all are left alone. Everything else
    that is not declared is removed.
    """
    found: list[Difference] = []
    for (kind, name), entry in sorted(declared.items(), key=lambda pair: pair[0]):
        stored = current.get((kind, name), b"")
        former = _decode(kind, stored)
        wanted = entry.value if entry.moves else _keep_service(entry.value, former)
        if wanted == former:
            continue
        sign = "~" if stored else "+"
        detail = _describe(former, wanted) if former is not None else ""
        found.append(Difference(sign, kind, name, msgspec.json.encode(wanted), detail))
    for kind, name in sorted(current):
        if (kind, name) not in declared and kind not in MOVED_KINDS:
            found.append(Difference("-", kind, name, b""))
    return found


def check_differences(current: dict[Key, bytes], differences: list[Difference]) -> list[str]:
    """List what would be wrong with the configuration after the differences."""
    configuration = Configuration()
    items = [Item(kind, name, 1, value) for (kind, name), value in current.items()]
    configuration.apply(1, items)
    changes = [(entry.kind, entry.name, entry.value) for entry in differences]
    return [*find_problems(configuration, changes), *find_unknown_target_kinds(changes)]


def _decode(kind: str, stored: bytes) -> Declaration | None:
    """Decode what is in force; compared as stored, an omitted default would be a difference."""
    try:
        return decode_declaration(kind, stored) if stored else None
    except (msgspec.MsgspecError, KeyError):
        return None


def _keep_service(wanted: Declaration, former: Declaration | None) -> Declaration:
    if isinstance(former, Zone | TargetState):
        return msgspec.structs.replace(wanted, in_service=former.in_service)
    return wanted


def _describe(former: Declaration, wanted: Declaration) -> str:
    before = msgspec.to_builtins(former)
    after = msgspec.to_builtins(wanted)
    changed = [key for key in after if before.get(key) != after[key]]
    return ", ".join(f"{key}: {before.get(key)!r} -> {after[key]!r}" for key in changed)
