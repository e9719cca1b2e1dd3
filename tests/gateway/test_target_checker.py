"""Whether a target runs on that has ended an answer by closing its connection."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace
from typing import Any, cast

import msgspec
import pytest

from rhubarbbend.core.crashes import Fate
from rhubarbbend.core.detours import ReachNotice, ReachTable
from rhubarbbend.core.directory import Target, TargetRecord, TargetRegistry, TargetState
from rhubarbbend.gateway import _target_checker
from rhubarbbend.gateway._target_checker import Contact, TargetChecker
from rhubarbbend.storage import StoreError

RECORD = TargetRecord("t", "llm", "127.0.0.1", 1, "a", 1, TargetState.READY, boot=1)
SENT_AT, NOW = 10.0, 20.0


def make_checker(
    own: list[Contact], witness: Contact | None = None, has_open_connection: bool = False
) -> TargetChecker:
    """Return a checker that finds `own` at its contacts in turn; another instance, `witness`."""
    registry = TargetRegistry()
    registry.register(RECORD, 0.0)
    registry.mark_initial_read_complete(0.0)
    state = SimpleNamespace(
        instance_zones={"own": "a"} if witness is None else {"own": "a", "other": "b"},
        settings=SimpleNamespace(instance="own", zone="a"),
        random=random.Random(1),
        registry=registry,
        reach=ReachTable("own"),
        event_log=SimpleNamespace(write=lambda *_, **__: None),
    )
    parts = cast(Any, SimpleNamespace())
    checker = TargetChecker(
        cast(Any, state), parts, parts, lambda *_: has_open_connection, lambda: NOW
    )
    contacts = iter(own)

    async def contact(query: object) -> Contact:
        return next(contacts)

    async def ask(instance: str, query: bytes) -> Contact | None:
        return witness

    async def reaches_another(target: str, service: str) -> bool:
        return True

    cast(Any, checker)._contact = contact
    cast(Any, checker)._ask = ask
    cast(Any, checker).reaches_another = reaches_another
    return checker


def find_runs_on(checker: TargetChecker) -> bool:
    return asyncio.run(checker.runs_on(Target(RECORD, 0.0, 0.0), SENT_AT))


@pytest.fixture(autouse=True)
def _check_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_target_checker, "END_CHECK_INTERVAL_S", 0.0)


# Guards against answers that look complete although nothing shows that their target still runs, and
# against whole ones that are broken off because it was silent for a moment or out of this
# instance's reach.
@pytest.mark.parametrize(
    ("own", "witness", "has_open_connection", "runs_on"),
    [
        ([Contact.SAME], None, False, True),
        ([Contact.OTHER], None, True, False),
        ([Contact.REFUSED], None, False, False),
        ([Contact.REFUSED], Contact.REFUSED, False, False),
        ([Contact.REFUSED], Contact.SAME, False, True),
        ([Contact.SILENT, Contact.SILENT, Contact.SAME], None, False, True),
        ([Contact.SILENT] * 3, None, False, False),
        ([Contact.SILENT] * 3, Contact.SILENT, False, False),
        ([Contact.SILENT], Contact.SAME, False, True),
        ([Contact.FULL] * 3, Contact.FULL, False, False),
        ([Contact.FULL] * 3, Contact.FULL, True, True),
        ([Contact.REFUSED] * 3, Contact.CUT_OFF, False, False),
    ],
)
def test_a_target_runs_on_only_if_that_is_shown(
    own: list[Contact], witness: Contact | None, has_open_connection: bool, runs_on: bool
) -> None:
    assert find_runs_on(make_checker(own, witness, has_open_connection)) is runs_on


# Guards against a target that is back under its id while this instance stood still, and that does
# not state which start it is: its registration tells.
@pytest.mark.parametrize(
    ("gap_at", "registered_boot", "is_store_away", "runs_on"),
    [
        (SENT_AT - 1.0, 1, True, True),
        (SENT_AT + 1.0, 1, False, True),
        (SENT_AT + 1.0, 2, False, False),
        (SENT_AT + 1.0, None, False, False),
        (SENT_AT + 1.0, 1, True, False),
    ],
)
def test_an_id_alone_is_believed_only_if_no_registration_was_missed(
    gap_at: float, registered_boot: int | None, is_store_away: bool, runs_on: bool
) -> None:
    checker = make_checker([Contact.SAME_ID])
    registry = cast(Any, checker)._state.registry
    registry.record_gap(gap_at)

    async def read_targets() -> None:
        if is_store_away:
            raise StoreError("no answer")
        if registered_boot is None:
            registry.unregister("t", NOW)
        else:
            registry.register(msgspec.structs.replace(RECORD, boot=registered_boot), NOW)

    checker.read_targets = read_targets
    assert find_runs_on(checker) is runs_on


# Guards against the word of instances that have lost their links to the target's service: they
# would say that it has ended, and the request that it ran would be blamed.
@pytest.mark.parametrize(("service", "is_asked"), [("llm", False), ("plain", True)])
def test_an_instance_that_does_not_reach_the_service_is_not_asked(
    service: str, is_asked: bool
) -> None:
    checker = make_checker([Contact.SILENT], Contact.REFUSED)
    cast(Any, checker)._state.reach.merge_notices([ReachNotice("other", service, False)], NOW)
    check = asyncio.run(checker.find_fate(Target(RECORD, 0.0, 0.0)))
    assert check.fate is (Fate.ENDED if is_asked else Fate.UNKNOWN)


# Guards against a lost link that is taken for the end of a target, where others of its service are
# out of reach as well and those of other services are not.
@pytest.mark.parametrize(("service", "reaches"), [("llm", False), ("plain", True)])
def test_only_targets_of_the_same_service_show_that_there_are_links(
    service: str, reaches: bool
) -> None:
    async def work() -> bool:
        server = await asyncio.start_server(lambda _, writer: writer.close(), "127.0.0.1", 0)
        async with server:
            port = int(server.sockets[0].getsockname()[1])
            checker = make_checker([])
            registry = cast(Any, checker)._state.registry
            for name, other, other_port in (("e", "llm", 1), ("p", "plain", port)):
                record = msgspec.structs.replace(RECORD, id=name, service=other, port=other_port)
                registry.register(record, 0.0)
            return await TargetChecker.reaches_another(checker, "t", service)

    assert asyncio.run(work()) is reaches
