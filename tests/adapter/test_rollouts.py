"""Roll-outs on the platform's store: orders, versions of targets, and the status for operators."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from adapter import PlatformStateDecoder, PlatformStatusEncoder
from rhubarbbend.core.mirror import RowChange
from rhubarbbend.core.rollouts import RolloutOrder, RolloutPhase, RolloutRecord
from rhubarbbend.gateway import (
    RegistrationUnreadable,
    RolloutOrdered,
    RolloutWithdrawn,
    RowUnreadable,
    StateChange,
    TargetRegistered,
)

KEY = "rollout/llm"
ORDER = {"service": "llm", "to": "v2", "durationS": 12}


def decode(key: str, value: Any, table: str = "op") -> list[StateChange]:
    data = None if value is None else msgspec.json.encode(value)
    return PlatformStateDecoder().decode(table, [RowChange(key, data, 41)])


def test_order() -> None:
    assert decode(KEY, ORDER) == [RolloutOrdered(RolloutOrder("llm", "v2", 12.0, 41))]


def test_withdrawn_order() -> None:
    assert decode(KEY, None) == [RolloutWithdrawn("llm")]


@pytest.mark.parametrize(
    "change",
    [
        {"service": "other"},
        {"to": ""},
        {"to": 2},
        {"durationS": 0},
        {"durationS": -3},
        {"durationS": "12"},
    ],
)
def test_unusable_order_is_reported(change: dict[str, Any]) -> None:
    (unreadable,) = decode(KEY, {**ORDER, **change})
    assert isinstance(unreadable, RowUnreadable)
    assert unreadable.row == "op/rollout/llm"


TARGET = {
    "service": "llm",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 6,
    "state": "ready",
    "coldLeftMs": 0,
}


def test_version_of_a_target() -> None:
    (change,) = decode("i-1", {**TARGET, "version": "v2"}, "servers")
    assert isinstance(change, TargetRegistered)
    assert change.record.version == "v2"


# Guards against streams joined from two versions (ORDER): entries of another writer without a
# version gave targets of all versions the same one.
def test_target_without_a_version_is_not_used() -> None:
    unreadable, missing = decode("i-1", TARGET, "servers")
    assert isinstance(unreadable, RowUnreadable)
    assert missing == RegistrationUnreadable("i-1")


@pytest.mark.parametrize(
    ("phase", "state"),
    [
        (RolloutPhase.RUNNING, "running"),
        (RolloutPhase.SUCCEEDED, "succeeded"),
        (RolloutPhase.ROLLED_BACK, "rolled_back"),
    ],
)
def test_status(phase: RolloutPhase, state: str) -> None:
    put = PlatformStatusEncoder().encode_rollout("llm", RolloutRecord(41, "v1", "v2", phase))
    assert (put.table, put.key) == ("status", KEY)
    assert msgspec.json.decode(put.value) == {"state": state, "to": "v2"}
