"""Decodes TOML into typed objects and reports every error of a file at once."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import TypeVar, get_args

import attrs
import cattrs
from cattrs.errors import (
    AttributeValidationNote,
    BaseValidationError,
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationError,
    IterableValidationNote,
)

from rhubarbbend.settings._checks import find_problems
from rhubarbbend.settings._types import Settings, read_operator_secret, read_secret

T = TypeVar("T")


@attrs.define(slots=True, frozen=True)
class SettingError:
    """One error: the file, the key's path in it, what was found and what was expected."""

    file: str
    key: str
    problem: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.problem}"


class SettingsInvalid(Exception):
    """A file that cannot be used; carries every error in it."""

    def __init__(self, errors: list[SettingError]) -> None:
        super().__init__("\n".join(str(error) for error in errors))
        self.errors = errors


def _expect(value: object, kinds: tuple[type, ...], name: str) -> None:
    # bool is an int to Python, which would let `port = true` through.
    wrong_bool = isinstance(value, bool) and bool not in kinds
    if wrong_bool or not isinstance(value, kinds):
        raise ValueError(f"expected {name}, got {value!r}")


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)

    def read_int(value: object, _: type) -> int:
        _expect(value, (int,), "an integer")
        return value  # type: ignore[return-value]

    def read_float(value: object, _: type) -> float:
        _expect(value, (int, float), "a number")
        return float(value)  # type: ignore[arg-type]

    def read_str(value: object, _: type) -> str:
        _expect(value, (str,), "a string")
        return value  # type: ignore[return-value]

    def read_bool(value: object, _: type) -> bool:
        _expect(value, (bool,), "true or false")
        return value  # type: ignore[return-value]

    converter.register_structure_hook(int, read_int)
    converter.register_structure_hook(float, read_float)
    converter.register_structure_hook(str, read_str)
    converter.register_structure_hook(bool, read_bool)
    return converter


_CONVERTER = _make_converter()


def _collect(error: BaseException, file: str, key: str) -> list[SettingError]:
    """Walk the converter's nested errors, building the path of each key."""
    if isinstance(error, ClassValidationError | IterableValidationError):
        with_notes, without = error.group_exceptions()
        found: list[SettingError] = []
        for inner, note in with_notes:
            found.extend(_collect(inner, file, _extend_key(key, note)))
        for inner in without:
            found.extend(_collect(inner, file, key))
        return found
    if isinstance(error, ForbiddenExtraKeysError):
        known = ", ".join(sorted(a.name for a in attrs.fields(error.cl)))
        return [
            SettingError(file, f"{key}.{name}".lstrip("."), f"unknown key; expected one of {known}")
            for name in sorted(error.extra_fields)
        ]
    if isinstance(error, KeyError):
        return [SettingError(file, key, "missing; it is required")]
    if isinstance(error, TypeError | AttributeError):
        return [SettingError(file, key, "expected a table")]
    return [SettingError(file, key or "(file)", str(error))]


def _extend_key(key: str, note: AttributeValidationNote | IterableValidationNote) -> str:
    if isinstance(note, IterableValidationNote):
        return f"{key}[{note.index}]"
    return f"{key}.{note.name}" if key else note.name


def _run_validators(data: object, kind: type, file: str, key: str) -> list[SettingError]:
    """Run the field validators on raw values.

    The converter runs them only on objects whose fields all have the right type, so that a wrong
    type in one key would hide a wrong value in the next.
    """
    if not isinstance(data, dict) or not attrs.has(kind):
        return []
    found: list[SettingError] = []
    for field in attrs.fields(attrs.resolve_types(kind)):
        if field.name not in data:
            continue
        value = data[field.name]
        path = f"{key}.{field.name}" if key else field.name
        found.extend(_run_validator(value, field, file, path))
        if isinstance(value, list):
            inner = get_args(field.type)
            for index, entry in enumerate(value):
                if inner:
                    found.extend(_run_validators(entry, inner[0], file, f"{path}[{index}]"))
        elif isinstance(field.type, type):
            found.extend(_run_validators(value, field.type, file, path))
    return found


def _run_validator(
    value: object, field: attrs.Attribute[object], file: str, path: str
) -> list[SettingError]:
    if field.validator is None:
        return []
    try:
        field.validator(None, field, value)
    except ValueError as error:
        return [SettingError(file, path, str(error))]
    except (TypeError, AttributeError):
        # The converter has reported a wrong type already.
        return []
    return []


def _structure(data: dict[str, object], file: str, kind: type[T]) -> T:
    invalid = _run_validators(data, kind, file, "")
    with attrs.validators.disabled():
        try:
            structured = _CONVERTER.structure(data, kind)
        except BaseValidationError as error:
            raise SettingsInvalid([*_collect(error, file, ""), *invalid]) from error
    if invalid:
        raise SettingsInvalid(invalid)
    return structured


def decode_toml(path: Path, kind: type[T]) -> T:
    """Decode a TOML file into an attrs class; raises `SettingsInvalid` with every error."""
    try:
        data = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid([SettingError(str(path), "(file)", str(error))]) from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsInvalid([SettingError(str(path), "(syntax)", str(error))]) from error
    return _structure(data, str(path), kind)


def load_settings(path: Path) -> tuple[Settings, bytes]:
    """Load an instance's settings and the fleet's secret; raises `SettingsInvalid`."""
    settings = decode_toml(path, Settings)
    errors = [SettingError(str(path), key, problem) for key, problem in find_problems(settings)]
    secret = b""
    try:
        secret = read_secret(settings.secret)
        read_operator_secret(settings.operators, secret)
    except ValueError as error:
        errors.append(SettingError(str(path), "operators" if secret else "secret", str(error)))
    if errors:
        raise SettingsInvalid(errors)
    return settings, secret
