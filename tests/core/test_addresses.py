"""Tests of addresses that come from outside."""

from __future__ import annotations

import asyncio

import pytest

from rhubarbbend.core.addresses import check_address
from rhubarbbend.http import Connection, HttpFailure, SendStage

UNUSABLE = [
    *[("127.0.0.1", port) for port in (-1, 0, 65_536, 70_000, 2**31, 2**40, 10**30)],
    *[
        (host, 80)
        for host in ("", "\0", "127.0.0.1\0", "a b", "a\nb", "\tx", "a..b", ".a", "[::1]")
    ],
    *[
        (host, 80)
        for host in ("a" * 64, "a." * 200, "é", "\ud800", "a/b", "a@b", "%41", "a,b", "*")
    ],
]


# Guards against rows with addresses for which opening a connection raises errors that no request
# expects: each request that was sent there got 500.
@pytest.mark.parametrize(("host", "port"), UNUSABLE)
def test_unusable_addresses_are_recognised(host: str, port: int) -> None:
    with pytest.raises(ValueError):
        check_address(host, port)


@pytest.mark.parametrize(
    "host", ["10.1.0.9", "::1", "fe80::a:1", "i-1.zone-a.example", "a_b", "x."]
)
def test_usable_addresses_are_accepted(host: str) -> None:
    check_address(host, 1)
    check_address(host, 65_535)


# Guards against such an error where an address is used without that check.
@pytest.mark.parametrize(("host", "port"), UNUSABLE)
def test_a_connection_to_an_unusable_address_fails_as_any_other(host: str, port: int) -> None:
    async def scenario() -> None:
        with pytest.raises(HttpFailure) as failure:
            await Connection.open((host or "\0", port), 0.2)
        assert failure.value.stage is SendStage.CONNECT

    asyncio.run(scenario())
