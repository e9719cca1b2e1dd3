"""Answers of workers: what of their heads is believed."""

from __future__ import annotations

import pytest

from adapter import PlatformTargets
from rhubarbbend.http import Response

HEADERS = {"attempt-id": "r-1", "response-seal": "s-1", "server-load": "3,2,64"}


def read(status: int = 200, **headers: str) -> Response:
    shown = {**HEADERS, **{name.replace("_", "-"): value for name, value in headers.items()}}
    raw = [(k.encode(), v.encode()) for k, v in shown.items() if v]
    return Response(status, {k: v for k, v in shown.items() if v}, raw)


@pytest.mark.parametrize(
    ("response", "genuine"),
    [
        (read(), True),
        (read(response_seal=""), False),
        (read(content_encoding="gzip"), False),
        (read(500), True),
        (read(500, response_seal=""), True),
        (read(500, content_encoding="gzip"), False),
    ],
)
def test_a_success_needs_the_worker_s_seal_and_its_own_bytes(
    response: Response, genuine: bool
) -> None:
    assert PlatformTargets().read_answer(response).genuine is genuine


def test_load_idle_limit_and_the_word_that_nothing_ran() -> None:
    response = read(503, not_executed="1", keep_alive="timeout=7, max=3", connection="close")
    answer = PlatformTargets().read_answer(response)
    assert (answer.held, answer.idle_limit, answer.not_run, answer.closes) == (5, 7.0, True, True)
    assert [name for name, _ in answer.headers] == [
        b"attempt-id",
        b"response-seal",
        b"not-executed",
    ]


@pytest.mark.parametrize("load", ["", "3", "a,b,c", "3,-1,6", "1,2,3,4"])
def test_a_load_that_cannot_be_read_is_none(load: str) -> None:
    assert PlatformTargets().read_answer(read(server_load=load)).held is None
