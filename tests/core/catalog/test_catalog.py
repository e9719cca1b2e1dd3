"""Look-up of routes by host and longest prefix, and of client accounts by key."""

from __future__ import annotations

import pytest

from rhubarbbend.core.catalog import (
    Catalog,
    ClientAccount,
    RequestKind,
    Route,
    ServiceShare,
    TrafficLimits,
)

LIMITS = TrafficLimits(16_384, 4_194_304, 3.0, 15.0)


def make_route(name: str, prefix: str, host: str = "plots.example") -> Route:
    shares = (ServiceShare("bookings", 1),)
    return Route(name, host, prefix, RequestKind.SAFE, 1.0, 0.2, 0, shares, 2)


CATALOG = Catalog(
    3,
    [
        make_route("outer", "/a/"),
        make_route("inner", "/a/b/"),
        make_route("root", "/", "x.example"),
    ],
    [],
    [ClientAccount("pilgrims", ("key-1", "key-2"))],
    LIMITS,
)


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        ("plots.example", "/a/1", "outer"),
        ("plots.example", "/a/b/1", "inner"),
        ("plots.example", "/a/b/", "inner"),
        ("plots.example", "/a/b", "outer"),
        ("plots.example", "/a/bc/1", "outer"),
        ("plots.example", "/a", None),
        ("plots.example", "/ab/1", None),
        ("plots.example", "/", None),
        ("PLOTS.example:8080", "/a/1", "outer"),
        ("x.example", "/anything/at/all", "root"),
        ("y.example", "/a/1", None),
        ("", "/a/1", None),
        ("plots.example", "", None),
        ("plots.example", "/a/../c/1", "outer"),
    ],
)
def test_the_route_with_the_longest_prefix_is_found(
    host: str, path: str, expected: str | None
) -> None:
    route = CATALOG.find_route(host, path)
    assert (None if route is None else route.name) == expected


def test_accounts_are_found_by_each_of_their_keys() -> None:
    for key in ("key-1", "key-2"):
        account = CATALOG.find_account(key)
        assert account is not None and account.name == "pilgrims"
    assert CATALOG.find_account("") is None
    assert CATALOG.find_account("key-3") is None


def test_a_configuration_without_accounts_needs_no_key() -> None:
    assert CATALOG.needs_key
    assert not Catalog(1, [], [], None, LIMITS).needs_key


def test_services_are_chosen_in_proportion_to_their_weights() -> None:
    shares = (ServiceShare("a", 90), ServiceShare("none", 0), ServiceShare("b", 10))
    route = Route("r", "h", "/", RequestKind.SAFE, 1.0, 0.2, 0, shares, 2)
    points = [number / 1_000 for number in range(1_000)]
    chosen = [route.choose_service(point) for point in points]
    assert (chosen.count("a"), chosen.count("b")) == (900, 100)
    assert route.choose_service(1.0) == "b"
    empty = Route("r", "h", "/", RequestKind.SAFE, 1.0, 0.2, 0, (), 2)
    assert empty.choose_service(0.5) == ""
