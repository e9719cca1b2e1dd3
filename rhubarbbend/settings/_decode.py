"""Decodes TOML files into typed objects and reports all errors of a file together.

`cattrs` converts the parsed TOML into attrs classes. Its nested exceptions are flattened into one
`SettingError` per key.
"""

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
    """One error in a file: its path, the path of the key, and the value found and expected."""

    file: str
    key: str
    problem: str

    def __str__(self) -> str:
        return f"{self.file}: {self.key}: {self.problem}"


class SettingsInvalid(Exception):
    """A settings or declaration file is invalid; `errors` holds every error found."""

    def __init__(self, errors: list[SettingError]) -> None:
        super().__init__("\n".join(str(error) for error in errors))
        self.errors = errors


def _check_type(value: object, types: tuple[type, ...], description: str) -> None:
    # bool is a subclass of int, so a plain isinstance check would accept `port = true`.
    is_unexpected_bool = isinstance(value, bool) and bool not in types
    if is_unexpected_bool or not isinstance(value, types):
        raise ValueError(f"expected {description}, got {value!r}")


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)

    def read_int(value: object, _: type) -> int:
        _check_type(value, (int,), "an integer")
        return value  # type: ignore[return-value]

    def read_float(value: object, _: type) -> float:
        _check_type(value, (int, float), "a number")
        return float(value)  # type: ignore[arg-type]

    def read_str(value: object, _: type) -> str:
        _check_type(value, (str,), "a string")
        return value  # type: ignore[return-value]

    def read_bool(value: object, _: type) -> bool:
        _check_type(value, (bool,), "true or false")
        return value  # type: ignore[return-value]

    converter.register_structure_hook(int, read_int)
    converter.register_structure_hook(float, read_float)
    converter.register_structure_hook(str, read_str)
    converter.register_structure_hook(bool, read_bool)
    return converter


_CONVERTER = _make_converter()


def _collect_errors(error: BaseException, file: str, key: str) -> list[SettingError]:
    """Flatten the converter's nested exceptions into one error for each key, with its path."""
    if isinstance(error, ClassValidationError | IterableValidationError):
        with_notes, without_notes = error.group_exceptions()
        errors: list[SettingError] = []
        for inner, note in with_notes:
            errors.extend(_collect_errors(inner, file, _extend_key(key, note)))
        for inner in without_notes:
            errors.extend(_collect_errors(inner, file, key))
        return errors
    if isinstance(error, ForbiddenExtraKeysError):
        known = ", ".join(sorted(field.name for field in attrs.fields(error.cl)))
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


def _run_validators(data: object, settings_class: type, file: str, key: str) -> list[SettingError]:
    """Run the field validators of a class and of the classes nested in it on undecoded values.

    attrs runs validators only when it constructs an object, which needs all fields of the right
    type. A wrong type in one key would then hide an invalid value in another.
    """
    if not isinstance(data, dict) or not attrs.has(settings_class):
        return []
    errors: list[SettingError] = []
    for field in attrs.fields(attrs.resolve_types(settings_class)):
        if field.name not in data:
            continue
        value = data[field.name]
        path = f"{key}.{field.name}" if key else field.name
        errors.extend(_run_validator(value, field, file, path))
        if isinstance(value, list):
            element_types = get_args(field.type)
            for index, entry in enumerate(value):
                if element_types:
                    errors.extend(
                        _run_validators(entry, element_types[0], file, f"{path}[{index}]")
                    )
        elif isinstance(field.type, type):
            errors.extend(_run_validators(value, field.type, file, path))
    return errors


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
        # The value has the wrong type, which the converter reports.
        return []
    return []


def _structure(data: dict[str, object], file: str, settings_class: type[T]) -> T:
    invalid_values = _run_validators(data, settings_class, file, "")
    with attrs.validators.disabled():
        try:
            structured = _CONVERTER.structure(data, settings_class)
        except BaseValidationError as error:
            raise SettingsInvalid([*_collect_errors(error, file, ""), *invalid_values]) from error
    if invalid_values:
        raise SettingsInvalid(invalid_values)
    return structured


def decode_toml(path: Path, settings_class: type[T]) -> T:
    """Decode a TOML file into an instance of an attrs class.

    Raises `SettingsInvalid` with every error if the file cannot be read or does not fit the class.
    """
    try:
        data = tomllib.loads(path.read_text("utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsInvalid([SettingError(str(path), "(file)", str(error))]) from error
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise SettingsInvalid([SettingError(str(path), "(syntax)", str(error))]) from error
    return _structure(data, str(path), settings_class)


def load_settings(path: Path) -> tuple[Settings, bytes]:
    """Return the settings of an instance and the fleet's secret.

    Raises `SettingsInvalid` with every error if the file, a setting or a secret is invalid.
    """
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
