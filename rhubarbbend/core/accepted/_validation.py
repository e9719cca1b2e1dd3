"""Checks a change set before it is accepted: what is accepted has to make sense everywhere.

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

NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@-]{0,99}")
# Names of models are the callers' and often hold the name of their maker.
MODEL_NAME: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@/-]{0,199}")
DIGEST: Final = re.compile(r"[0-9a-f]{64}")
MAX_DECLARATION_BYTES: Final = 65_536
Changes = Sequence[tuple[str, str, bytes]]
Key = tuple[str, str]


def find_problems(configuration: Configuration, items: Changes) -> list[str]:
    """List everything wrong with a change set on top of a configuration."""
    if not items:
        return ["the change set is empty"]
    declared: dict[Key, Declaration | None] = {}
    problems: list[str] = []
    for kind, name, value in items:
        if (kind, name) in declared:
            problems.append(f"{kind} {name!r} is in the change set twice")
            continue
        problems.extend(_read_item(kind, name, value, declared))
    if not problems:
        problems.extend(_find_broken_references(configuration, declared))
    return problems


def _read_item(
    kind: str, name: str, value: bytes, declared: dict[Key, Declaration | None]
) -> list[str]:
    label = f"{kind} {name!r}"
    if kind not in KINDS:
        return [f"unknown kind {kind!r}; expected one of {', '.join(KINDS)}"]
    if not value:
        declared[(kind, name)] = None
        return []
    if len(value) > MAX_DECLARATION_BYTES:
        return [f"{label}: expected at most {MAX_DECLARATION_BYTES} bytes"]
    try:
        read = decode_declaration(kind, value)
    except msgspec.MsgspecError as error:
        return [f"{label}: {error}"]
    if read.name != name:
        return [f"{label} is named {read.name!r} inside"]
    declared[(kind, name)] = read
    found = [*find_unknown_fields(kind, msgspec.json.decode(value)), *check_declaration(read)]
    return [f"{label}: {problem}" for problem in found]


def find_unknown_fields(kind: str, raw: Mapping[str, Any]) -> list[str]:
    """List fields that the kind does not have; a misspelt one would be silently without effect."""
    found = _name_unknown(raw, KINDS[kind])
    operations = raw.get("operations") if kind == "service" else None
    for entry in operations if isinstance(operations, list) else ():
        if isinstance(entry, dict):
            found.extend(f"operations: {p}" for p in _name_unknown(entry, Operation))
    return found


def _name_unknown(raw: Mapping[str, Any], kind: type[msgspec.Struct]) -> list[str]:
    known = kind.__struct_fields__
    return [
        f"unknown field {field!r}; expected one of {', '.join(known)}"
        for field in raw
        if field not in known
    ]


def check_declaration(declared: Declaration) -> list[str]:
    """List what is wrong with one declaration taken alone."""
    found: list[str] = []
    pattern = MODEL_NAME if isinstance(declared, Model) else NAME
    if not pattern.fullmatch(declared.name):
        found.append("name: expected letters, digits and . _ : @ -, a letter or digit first")
    if isinstance(declared, Account):
        found.extend(_check_account(declared))
    elif isinstance(declared, Service):
        found.extend(_check_service(declared))
    return found


def _check_account(account: Account) -> list[str]:
    found: list[str] = []
    if not DIGEST.fullmatch(account.key_digest):
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
    configuration: Configuration, declared: Mapping[Key, Declaration | None]
) -> list[str]:
    """List references that would lead nowhere, and bearer keys that would be two accounts'."""
    services = _merge(configuration.services, "service", declared)
    models = _merge(configuration.models, "model", declared)
    found: list[str] = []
    for model in models.values():
        if model.service not in services:
            found.append(f"model {model.name!r}: no service {model.service!r} is declared")
        if model.adapter_of and model.adapter_of not in models:
            found.append(f"model {model.name!r}: no model {model.adapter_of!r} is declared")
    found.extend(_find_shared_keys(configuration, declared))
    return found


def _merge(
    known: Mapping[str, Any], kind: str, declared: Mapping[Key, Declaration | None]
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


def _find_shared_keys(
    configuration: Configuration, declared: Mapping[Key, Declaration | None]
) -> list[str]:
    """Look only at the accounts of the change set: there may be tens of thousands of others."""
    found: list[str] = []
    fresh: dict[str, str] = {}
    for (kind, name), account in declared.items():
        if kind != "account" or not isinstance(account, Account):
            continue
        known = configuration.accounts.get(account.key_digest)
        taken = "" if known is None else known.name
        if taken and _moves_away(taken, account.key_digest, declared):
            taken = ""
        other = fresh.setdefault(account.key_digest, name)
        if taken not in ("", name) or other != name:
            holder = taken if taken not in ("", name) else other
            found.append(f"account {name!r}: its key_digest is that of account {holder!r}")
    return found


def _moves_away(name: str, digest: str, declared: Mapping[Key, Declaration | None]) -> bool:
    """Whether the change set removes an account or gives it another key."""
    if ("account", name) not in declared:
        return False
    account = declared[("account", name)]
    return not isinstance(account, Account) or account.key_digest != digest
