"""Decoding the heads of targets' responses: seal, load, idle time-out and forwarded headers."""

from __future__ import annotations

import pytest

from adapter import PlatformTargetProtocol
from rhubarbbend.core.capacity import ReportedLoad
from rhubarbbend.http import Response

HEADERS = {"attempt-id": "r-1", "response-seal": "s-1", "server-load": "3,2,64"}


def make_response(status: int = 200, **headers: str) -> Response:
    all_headers = {
        **HEADERS,
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    raw = [(k.encode(), v.encode()) for k, v in all_headers.items() if v]
    return Response(status, {k: v for k, v in all_headers.items() if v}, raw)


@pytest.mark.parametrize(
    ("response", "is_authentic"),
    [
        (make_response(), True),
        (make_response(response_seal=""), False),
        (make_response(content_encoding="gzip"), False),
        (make_response(500), True),
        (make_response(500, response_seal=""), True),
        (make_response(500, content_encoding="gzip"), False),
    ],
)
def test_success_is_authentic_only_with_seal_and_without_content_encoding(
    response: Response, is_authentic: bool
) -> None:
    assert PlatformTargetProtocol().read_response_head(response).is_authentic is is_authentic


def test_decode_load_idle_timeout_and_not_executed() -> None:
    response = make_response(
        503, not_executed="1", keep_alive="timeout=7, max=3", connection="close"
    )
    answer = PlatformTargetProtocol().read_response_head(response)
    assert (
        answer.load,
        answer.idle_timeout_s,
        answer.was_not_executed,
        answer.closes_connection,
    ) == (ReportedLoad(3, 2, 64), 7.0, True, True)
    assert [name for name, _ in answer.headers] == [
        b"attempt-id",
        b"response-seal",
        b"not-executed",
    ]


@pytest.mark.parametrize(
    "load", ["", "3", "3,2", "a,b,c", "3,-1,6", "3,,6", "1,2,x,100", "3,1e2,6", "9999999,0,6"]
)
def test_malformed_load_is_ignored(load: str) -> None:
    assert PlatformTargetProtocol().read_response_head(make_response(server_load=load)).load is None


# Guards against a load that is lost because a target reports a figure that is not known here.
@pytest.mark.parametrize(
    ("load", "pace"),
    [
        ("3,2,64,100", 1.0),
        (" 3, 2, 64, 250 ", 2.5),
        ("3,2,64,250,7", 2.5),
        ("3,2,64,40,x,-1", 0.4),
        ("3,2,64,0", None),
        ("3,2,64,-5", None),
        ("3,2,64,x", None),
        ("3,2,64,", None),
        ("3,2,64,99999999", None),
    ],
)
def test_further_figures_do_not_cost_the_load(load: str, pace: float | None) -> None:
    head = PlatformTargetProtocol().read_response_head(make_response(server_load=load))
    assert head.load == ReportedLoad(3, 2, 64, pace)


@pytest.mark.parametrize(
    ("status", "retry_after", "pause_s"),
    [
        (503, "3", 3.0),
        (503, " 0.25 ", 0.25),
        (503, "", None),
        (503, "-1", None),
        (503, "inf", None),
        (503, "1e9", None),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", None),
        (429, "3", None),
        (500, "3", None),
    ],
)
def test_only_a_503_asks_the_instance_for_a_pause(
    status: int, retry_after: str, pause_s: float | None
) -> None:
    response = make_response(status, retry_after=retry_after)
    assert PlatformTargetProtocol().read_response_head(response).pause_s == pause_s


@pytest.mark.parametrize(
    ("header", "is_leaving"), [("1", True), (" 1 ", True), ("", False), ("0", False)]
)
def test_notice_of_leaving_is_decoded_and_not_forwarded(header: str, is_leaving: bool) -> None:
    answer = PlatformTargetProtocol().read_response_head(make_response(server_leaving=header))
    assert answer.is_leaving is is_leaving
    assert b"server-leaving" not in [name for name, _ in answer.headers]


# Guards against a new start of a target that is taken for the one before, or the other way round.
@pytest.mark.parametrize(
    ("report", "boot"),
    [
        (b'{"born": 1789998219565, "inFlight": 3}', 1_789_998_219_565),
        (b'{"inFlight": 3}', None),
        (b'{"born": null}', None),
        (b'{"born": "1789998219565"}', None),
        (b'{"born": 1.5}', None),
        (b'{"born": 1', None),
        (b"[" * 100_000, None),
        (b"", None),
    ],
)
def test_boot_number_is_read_only_if_it_is_stated(report: bytes, boot: int | None) -> None:
    assert PlatformTargetProtocol().read_boot(report) == boot
