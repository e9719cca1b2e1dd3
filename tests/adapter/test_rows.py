"""Decoding rows of the operator and of targets: used fields, and reports of malformed rows."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from adapter import PlatformStateDecoder
from rhubarbbend.core.catalog import RequestKind
from rhubarbbend.core.directory import TargetState
from rhubarbbend.core.mirror import RowChange
from rhubarbbend.gateway import (
    CatalogPublished,
    RegistrationUnreadable,
    RowUnreadable,
    StateChange,
    TargetRegistered,
    TargetUnregistered,
    ZoneServiceChanged,
)

ROUTE = {
    "name": "r-1",
    "host": "plots.example",
    "prefix": "/plan/",
    "kind": "streaming",
    "timeoutMs": 12_000,
    "sloMs": 800,
    "priority": 1,
    "backends": [{"service": "llm-a", "weight": 90}, {"service": "llm-b", "weight": 10}],
    "maxAttempts": 2,
    "public": False,
    "sticky": True,
    "resumable": True,
    "gapTargetMs": 400,
    "somethingNew": [1, 2],
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "llm-a", "maxConns": 360, "coldStartS": 3.0, "coldPerS": 11.0}],
    "limits": {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    },
    "tenants": [{"name": "pilgrims", "apiKeys": ["k-1", "k-2"], "priority": 0}],
}
REGISTRATION = {
    "service": "llm-a",
    "address": "10.1.0.9:8080",
    "zone": "almaty-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 1_500,
    "seqNo": 4,
    "born": 1_775_300_355_245,
}


def decode(table: str, key: str, value: Any) -> list[StateChange]:
    data = None if value is None else msgspec.json.encode(value)
    return PlatformStateDecoder().decode(table, [RowChange(key, data)])


def test_decode_configuration() -> None:
    (change,) = decode("op", "config", CONFIG)
    assert isinstance(change, CatalogPublished)
    catalog = change.catalog
    route = catalog.find_route("plots.example", "/plan/2f")
    assert route is not None
    assert (route.kind, route.idempotent) == (RequestKind.STREAM, True)
    assert (route.timeout, route.objective, route.pause_objective) == (12.0, 0.8, 0.4)
    assert [(share.service, share.weight) for share in route.shares] == [
        ("llm-a", 90),
        ("llm-b", 10),
    ]
    assert (catalog.services["llm-a"].cold_rate, catalog.limits.idle_timeout) == (11.0, 15.0)
    account = catalog.find_account("k-2")
    assert account is not None and (account.name, account.priority) == ("pilgrims", 0)


@pytest.mark.parametrize(
    "change",
    [
        {"version": "seven"},
        {"routes": [{**ROUTE, "kind": "odd"}]},
        {"routes": 3},
        {"services": None},
    ],
)
def test_malformed_configuration_yields_only_unreadable(change: dict[str, Any]) -> None:
    (unreadable,) = decode("op", "config", {**CONFIG, **change})
    assert (
        isinstance(unreadable, RowUnreadable)
        and unreadable.row == "op/config"
        and unreadable.reason
    )


def test_decode_target_registration() -> None:
    (change,) = decode("servers", "i-1", REGISTRATION)
    assert isinstance(change, TargetRegistered)
    record = change.record
    assert (record.id, record.host, record.port) == ("i-1", "10.1.0.9", 8080)
    assert (record.cold_left, record.boot) == (1.5, 1_775_300_355_245)
    assert record.state is TargetState.READY


@pytest.mark.parametrize(
    "change",
    [
        {"address": "10.1.0.9"},
        {"address": 5},
        {"address": "10.1.0.9:port"},
        {"state": "resting"},
        {"slots": "many"},
        {"born": 1.5},
        {"zone": None},
        {"version": 2},
    ],
)
def test_malformed_registration_yields_unreadable_and_target_missing(
    change: dict[str, Any],
) -> None:
    decoded = decode("servers", "i-1", {**REGISTRATION, **change})
    assert isinstance(decoded[0], RowUnreadable)
    assert decoded[1] == RegistrationUnreadable("i-1")


# Guards against an entry that passes for that of another target, since a field of it is missing, is
# of another type, or stands there twice.
@given(
    field=st.sampled_from([field for field in REGISTRATION if field not in ("seqNo", "born")]),
    value=st.none()
    | st.booleans()
    | st.lists(st.integers())
    | st.dictionaries(st.text(), st.none()),
)
def test_registration_without_a_field_names_no_target(field: str, value: Any) -> None:
    odd = [
        {name: known for name, known in REGISTRATION.items() if name != field},
        {**REGISTRATION, field: value},
    ]
    for registration in odd:
        assert decode("servers", "i-1", registration)[-1] == RegistrationUnreadable("i-1")
    twice = msgspec.json.encode(REGISTRATION)[:-1] + b"," + msgspec.json.encode({field: value})[1:]
    changes = PlatformStateDecoder().decode("servers", [RowChange("i-1", twice)])
    assert changes[-1] == RegistrationUnreadable("i-1")


def test_registration_without_a_start_has_an_unknown_one() -> None:
    registration = {name: value for name, value in REGISTRATION.items() if name != "born"}
    (change,) = decode("servers", "i-1", registration)
    assert isinstance(change, TargetRegistered) and change.record.boot == 0


def test_decode_deleted_registrations_zone_evacuations_and_unknown_rows() -> None:
    assert decode("servers", "i-1", None) == [TargetUnregistered("i-1")]
    assert decode("op", "evacuate/almaty-a", {}) == [ZoneServiceChanged("almaty-a", True)]
    assert decode("op", "evacuate/almaty-a", None) == [ZoneServiceChanged("almaty-a", False)]
    assert decode("op", "something-else", {"x": 1}) == []


# Guards against one odd row that makes every request of its service fail, since arithmetic with its
# number raises an error.
@pytest.mark.parametrize("field", ["slots", "born"])
@pytest.mark.parametrize("number", [2**63, -(2**63), 10**400, 10**3_999])
def test_registration_with_a_number_too_large_is_unreadable(field: str, number: int) -> None:
    data = msgspec.json.encode({**REGISTRATION, field: "NUMBER"})
    value = data.replace(b'"NUMBER"', str(number).encode())
    changes = PlatformStateDecoder().decode("servers", [RowChange("i-1", value)])
    assert [type(change) for change in changes] == [RowUnreadable, RegistrationUnreadable]
