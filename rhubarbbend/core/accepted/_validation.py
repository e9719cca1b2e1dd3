"""Validates a change set before it is accepted, because every instance applies accepted changes.

The command line runs the same checks, so that an author sees every problem before anything is
sent.
"""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from typing import Any, Final

import msgspec

from rhubarbbend.core.configuration import (
    KINDS,
    Account,
    Configuration,
    Declaration,
    Model,
    Operation,
    Service,
    decode_declaration,
)
from rhubarbbend.core.routing import POLICIES
from rhubarbbend.decoding import decode_json

NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]{0,99}")
# Callers choose models by name, and the name often holds the vendor's name before a "/".
MODEL_NAME_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@/-]{0,199}")
KEY_DIGEST_PATTERN: Final = re.compile(r"[0-9a-f]{64}")
MAX_DECLARATION_BYTES: Final = 65_536
ChangeItems = Sequence[tuple[str, str, bytes]]
DeclarationKey = tuple[str, str]


def find_problems(configuration: Configuration, items: ChangeItems) -> list[str]:
    """Return a message for each problem of a change set applied to a configuration.

    References between declarations are checked only if each declaration is valid by itself.
    """
    if not items:
        return ["the change set is empty"]
    declared: dict[DeclarationKey, Declaration | None] = {}
    problems: list[str] = []
    for kind, name, value in items:
        if (kind, name) in declared:
            problems.append(f"{kind} {name!r} is in the change set twice")
            continue
        problems.extend(_check_item(kind, name, value, declared))
    if not problems:
        problems.extend(_find_broken_references(configuration, declared))
    return problems


def _check_item(
    kind: str, name: str, value: bytes, declared: dict[DeclarationKey, Declaration | None]
) -> list[str]:
    label = f"{kind} {name!r}"
    if kind not in KINDS:
        return [f"unknown kind {kind!r}; expected one of {', '.join(KINDS)}"]
    if not value:
        declared[(kind, name)] = None
        return []
    if len(value) > MAX_DECLARATION_BYTES:
        return [f"{label}: declaration too large; expected at most {MAX_DECLARATION_BYTES} bytes"]
    try:
        declaration = decode_declaration(kind, value)
    except msgspec.MsgspecError as error:
        return [f"{label}: {error}"]
    if declaration.name != name:
        return [f"{label} is named {declaration.name!r} inside"]
    declared[(kind, name)] = declaration
    found = [
        *find_unknown_fields(kind, decode_json(value)),
        *check_declaration(declaration),
    ]
    return [f"{label}: {problem}" for problem in found]


def find_unknown_fields(kind: str, raw: Mapping[str, Any]) -> list[str]:
    """Return a message for each unknown field: a misspelt field would silently have no effect."""
    found = _list_unknown_fields(raw, KINDS[kind])
    operations = raw.get("operations") if kind == "service" else None
    for entry in operations if isinstance(operations, list) else ():
        if isinstance(entry, dict):
            found.extend(f"operations: {p}" for p in _list_unknown_fields(entry, Operation))
    return found


def _list_unknown_fields(raw: Mapping[str, Any], kind: type[msgspec.Struct]) -> list[str]:
    known = kind.__struct_fields__
    return [
        f"unknown field {field!r}; expected one of {', '.join(known)}"
        for field in raw
        if field not in known
    ]


def check_declaration(declared: Declaration) -> list[str]:
    """Return a message for each problem of one declaration, without regard to others."""
    found: list[str] = []
    pattern = MODEL_NAME_PATTERN if isinstance(declared, Model) else NAME_PATTERN
    if not pattern.fullmatch(declared.name):
        found.append("name: expected letters, digits and . _ : @ -, a letter or digit first")
    if isinstance(declared, Account):
        found.extend(_check_account(declared))
    elif isinstance(declared, Service):
        found.extend(_check_service(declared))
    return found


def _check_account(account: Account) -> list[str]:
    found: list[str] = []
    if not KEY_DIGEST_PATTERN.fullmatch(account.key_digest):
        found.append("key_digest: expected 64 lower-case hexadecimal digits")
    if account.weight < 1:
        found.append(f"weight: expected at least 1, got {account.weight}")
    if account.max_in_flight < 1:
        found.append(f"max_in_flight: expected at least 1, got {account.max_in_flight}")
    return found


def _check_service(service: Service) -> list[str]:
    found: list[str] = []
    if service.policy not in POLICIES.list_names():
        known = ", ".join(POLICIES.list_names())
        found.append(f"policy: expected one of {known}, got {service.policy!r}")
    if not 1.0 < service.bound < 1_000.0:
        found.append(f"bound: expected a number above 1, got {service.bound}")
    for field in ("floor", "cold_slots"):
        if getattr(service, field) < 1:
            found.append(f"{field}: expected at least 1, got {getattr(service, field)}")
    for field in ("max_queue", "max_wait"):
        if not getattr(service, field) >= 0:
            found.append(f"{field}: expected at least 0, got {getattr(service, field)}")
    for field in ("prefill_rate", "head_timeout", "progress_timeout"):
        if not getattr(service, field) > 0:
            found.append(f"{field}: expected a number above 0, got {getattr(service, field)}")
    for operation in service.operations:
        if not operation.path.startswith("/") or "*" in operation.path[:-1]:
            found.append(
                f"operations: expected a path that begins with / and has * only at its end, "
                f"got {operation.path!r}"
            )
    return found


def _find_broken_references(
    configuration: Configuration, declared: Mapping[DeclarationKey, Declaration | None]
) -> list[str]:
    """Return a message for each reference to nothing declared and each duplicate bearer key."""
    services = _merge_declared(configuration.services, "service", declared)
    models = _merge_declared(configuration.models, "model", declared)
    found: list[str] = []
    for model in models.values():
        if model.service not in services:
            found.append(f"model {model.name!r}: no service {model.service!r} is declared")
        if model.adapter_of and model.adapter_of not in models:
            found.append(f"model {model.name!r}: no model {model.adapter_of!r} is declared")
    found.extend(_find_duplicate_key_digests(configuration, declared))
    return found


def _merge_declared(
    known: Mapping[str, Any], kind: str, declared: Mapping[DeclarationKey, Declaration | None]
) -> dict[str, Any]:
    merged = dict(known)
    for (declared_kind, name), value in declared.items():
        if declared_kind != kind:
            continue
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = value
    return merged


def _find_duplicate_key_digests(
    configuration: Configuration, declared: Mapping[DeclarationKey, Declaration | None]
) -> list[str]:
    """Return a message for each account of the change set whose bearer key another account has.

    Only accounts of the change set are visited: there may be tens of thousands of others.
    """
    found: list[str] = []
    declared_names: dict[str, str] = {}
    for (kind, name), account in declared.items():
        if kind != "account" or not isinstance(account, Account):
            continue
        existing = configuration.accounts.get(account.key_digest)
        existing_name = "" if existing is None else existing.name
        if existing_name and _releases_key_digest(existing_name, account.key_digest, declared):
            existing_name = ""
        declared_name = declared_names.setdefault(account.key_digest, name)
        if existing_name not in ("", name) or declared_name != name:
            holder = existing_name if existing_name not in ("", name) else declared_name
            found.append(f"account {name!r}: its key_digest is that of account {holder!r}")
    return found


def _releases_key_digest(
    name: str, digest: str, declared: Mapping[DeclarationKey, Declaration | None]
) -> bool:
    """Return whether the change set removes an account or replaces its bearer key."""
    if ("account", name) not in declared:
        return False
    account = declared[("account", name)]
    return not isinstance(account, Account) or account.key_digest != digest
