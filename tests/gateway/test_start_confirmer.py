"""Whether targets are asked, while the store is out of reach, which start of them runs."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from rhubarbbend.core.directory import Target, TargetRecord, TargetRegistry, TargetState
from rhubarbbend.core.placement import HealthTracker
from rhubarbbend.gateway import _start_confirmer
from rhubarbbend.gateway._start_confirmer import StartConfirmer

RECORD = TargetRecord("t", "llm", "127.0.0.1", 1, "a", 1, TargetState.READY, boot=1)
KNOWN_UNTIL, NOW = 50.0, 100.0


class Checker:
    """Answers for a target: at once, or never."""

    def __init__(self, is_same: bool | None = True, reports: bool = True) -> None:
        self._is_same = is_same
        self._reports = reports
        self.asked = 0

    def reports_boot(self, target: Target) -> bool:
        return self._reports

    async def is_same_start(self, target: Target) -> bool:
        self.asked += 1
        if self._is_same is None:
            await asyncio.Event().wait()
        return bool(self._is_same)


def make_confirmer(
    checker: Checker, is_store_reachable: bool = False, other_version: str = "v2"
) -> StartConfirmer:
    registry = TargetRegistry()
    registry.register(RECORD, 0.0)
    registry.register(msgspec.structs.replace(RECORD, id="u", version=other_version), 0.0)
    state = SimpleNamespace(
        up_to_date_at=KNOWN_UNTIL,
        registry=registry,
        health=HealthTracker(),
        metrics=SimpleNamespace(increment_counter=lambda _: None),
        event_log=SimpleNamespace(write=lambda *_, **__: None),
        list_instance_ids=lambda: ["own"],
    )
    confirmer = StartConfirmer(cast(Any, state), cast(Any, checker), lambda: NOW)
    confirmer.is_store_reachable = lambda: is_store_reachable
    return confirmer


# Guards against a question for each stream where the registration or the connection is proof.
@pytest.mark.parametrize(
    ("is_store_reachable", "connected_at", "reports", "is_needed"),
    [
        (False, KNOWN_UNTIL + 1.0, True, True),
        (True, KNOWN_UNTIL + 1.0, True, False),
        (False, KNOWN_UNTIL - 1.0, True, False),
        (False, KNOWN_UNTIL + 1.0, False, False),
    ],
)
def test_a_target_is_asked_only_if_nothing_else_tells_its_start(
    is_store_reachable: bool, connected_at: float, reports: bool, is_needed: bool
) -> None:
    async def work() -> None:
        confirmer = make_confirmer(Checker(reports=reports), is_store_reachable)
        assert confirmer.is_needed(Target(RECORD, 0.0, 0.0), connected_at) is is_needed

    asyncio.run(work())


# Guards against questions during each outage of the store, though nothing has changed.
@pytest.mark.parametrize(
    ("other_version", "unreachable_at", "is_needed"),
    [
        ("v2", None, True),
        ("", None, False),
        ("", KNOWN_UNTIL - 1.0, False),
        ("", KNOWN_UNTIL + 1.0, True),
    ],
)
def test_a_target_is_asked_only_if_its_version_may_have_changed(
    other_version: str, unreachable_at: float | None, is_needed: bool
) -> None:
    async def work() -> None:
        confirmer = make_confirmer(Checker(), other_version=other_version)
        if unreachable_at is not None:
            cast(Any, confirmer)._state.health.record_unreachable("t", unreachable_at)
            cast(Any, confirmer)._state.health.record_connected("t", unreachable_at + 0.5)
        assert confirmer.is_needed(Target(RECORD, 0.0, 0.0), NOW) is is_needed

    asyncio.run(work())


# Guards against questions to targets that go on sending on connections of before the outage, and
# against a connection that is old and silent as the proof of a new one.
@pytest.mark.parametrize("has_contact", [True, False])
def test_a_connection_that_carries_data_is_proof_for_those_opened_since(has_contact: bool) -> None:
    async def work() -> None:
        confirmer = make_confirmer(Checker())
        asked: list[tuple[str, float]] = []

        def find_contact(target: str, opened_before: float, since: float) -> bool:
            asked.append((target, opened_before))
            return has_contact

        confirmer.has_contact = find_contact
        target = Target(RECORD, 0.0, 0.0)
        assert confirmer.is_needed(target, NOW) is not has_contact
        assert asked == [("t", KNOWN_UNTIL)]
        assert confirmer.is_needed(target, NOW) is not has_contact
        # The proof of the first one holds on.
        assert (asked[1][1] > KNOWN_UNTIL) is has_contact

    asyncio.run(work())


# Guards against a start that counts as confirmed although the target does not answer.
@pytest.mark.parametrize("is_same", [True, False, None])
def test_a_start_is_confirmed_only_by_its_target(
    is_same: bool | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(_start_confirmer, "CONFIRM_TIMEOUT_S", 0.05)

    async def work() -> None:
        confirmer = make_confirmer(Checker(is_same))
        assert await confirmer.confirm(Target(RECORD, 0.0, 0.0)) is (is_same is True)

    asyncio.run(work())


# Guards against a storm of questions to one target during an outage of the store.
def test_streams_that_begin_together_share_a_question() -> None:
    async def work() -> None:
        checker = Checker()
        confirmer = make_confirmer(checker)
        target = Target(RECORD, 0.0, 0.0)
        assert all(await asyncio.gather(*(confirmer.confirm(target) for _ in range(50))))
        assert checker.asked == 1
        confirmer.expire()
        assert await confirmer.confirm(target) and checker.asked == 2

    asyncio.run(work())
