"""Validation of change sets by the core, independent of the client that sends them."""

from __future__ import annotations

import msgspec
import pytest

from rhubarbbend.core import actions, events
from tests.core.core_helpers import answer_scan, filter_actions, make_row, make_zone, start_core

DIGEST = "a" * 64


@pytest.mark.parametrize(
    ("items", "problem"),
    [
        ([], "the change set is empty"),
        ([("nothing", "x", b"{}")], "unknown kind 'nothing'"),
        ([make_zone("b", True), make_zone("b", False)], "in the change set twice"),
        ([("zone", "x", b'{"name": "y"}')], "is named 'y' inside"),
        ([("zone", "x", b'{"name": "x", "inservice": false}')], "unknown field 'inservice'"),
        ([("zone", "x|y", b'{"name": "x|y"}')], "name: expected letters"),
        ([("zone", "x", b"[1]")], "zone 'x'"),
        ([("service", "s", b"")], "no service 's' is declared"),
        (
            [("account", "z", msgspec.json.encode({"name": "z", "key_digest": DIGEST}))],
            "its key_digest is that of account 'x'",
        ),
        ([("service", "s", b'{"name": "s", "bound": 1.0}')], "bound: expected a number above 1"),
        ([("service", "s", b'{"name": "s", "max_wait": -1}')], "max_wait: expected at least 0"),
    ],
)
def test_an_invalid_change_is_not_written(
    items: list[tuple[str, str, bytes]], problem: str
) -> None:
    core = start_core("e1")
    service = ("service", "s", b'{"name": "s"}')
    model = ("model", "m", b'{"name": "m", "service": "s"}')
    account = ("account", "x", msgspec.json.encode({"name": "x", "key_digest": DIGEST}))
    answer_scan(core, 3.5, make_row(1, service, model, account))
    emitted = core.handle(events.ChangeProposed("o1", "c1", "ana", 1, items), 4.0)
    assert filter_actions(emitted, actions.WriteRows) == []
    assert problem in filter_actions(emitted, actions.AnswerOperator)[0].error


def test_one_change_may_move_a_bearer_key_to_another_account() -> None:
    core = start_core("e1")
    value = msgspec.json.encode({"name": "x", "key_digest": DIGEST})
    answer_scan(core, 3.5, make_row(1, ("account", "x", value)))
    moved = ("account", "y", msgspec.json.encode({"name": "y", "key_digest": DIGEST}))
    event = events.ChangeProposed("o1", "c1", "ana", 1, [("account", "x", b""), moved])
    assert len(filter_actions(core.handle(event, 4.0), actions.WriteRows)) == 1
