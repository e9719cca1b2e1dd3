"""Properties of the accepted configuration: it only moves forward, and copies converge."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from rhubarbbend.core.configuration import Configuration, Item, Position

NAMES = ["a", "b", "c", "d"]
# A log of change sets: for each version, the zones that it writes or removes.
ENTRY = st.tuples(st.sampled_from(NAMES), st.sampled_from([True, False, None]))
LOGS = st.lists(st.lists(ENTRY, min_size=1, max_size=4, unique_by=lambda e: e[0]), max_size=12)


def make_items(log: list[list[tuple[str, bool | None]]]) -> list[list[Item]]:
    """Make the items of each version, from version 1."""
    return [
        [
            Item(
                "zone",
                name,
                number,
                b"" if value is None else msgspec.json.encode({"name": name, "in_service": value}),
            )
            for name, value in entries
        ]
        for number, entries in enumerate(log, 1)
    ]


def build(versions: list[list[Item]]) -> Configuration:
    """Apply versions one by one."""
    configuration = Configuration()
    for number, items in enumerate(versions, 1):
        configuration.apply(number, items)
    return configuration


def describe(configuration: Configuration) -> tuple[int, list[Item], dict[str, bool]]:
    """Describe everything that copies have to agree on."""
    zones = {name: zone.in_service for name, zone in configuration.zones.items()}
    return configuration.version, configuration.list_after(0), zones


@given(LOGS, st.data())
def test_any_order_and_repetition_never_lowers_the_version_and_converges(
    log: list[list[tuple[str, bool | None]]], data: st.DataObject
) -> None:
    """A copy is offered what others hold at any of their versions, again and in any order.

    Lagging tables and peers that are behind do just that. An older offer must change nothing,
    and once the newest state has been offered the copy must equal it.
    """
    versions = make_items(log)
    copy = Configuration()
    offers = data.draw(st.lists(st.integers(0, len(versions)), max_size=20))
    for offer in [*offers, len(versions)]:
        source = build(versions[:offer])
        before = describe(copy)
        taken = copy.apply(source.version, source.list_after(copy.version))
        assert copy.version == max(before[0], offer)
        assert taken == (offer > before[0])
        if not taken:
            assert describe(copy) == before
        # A copy at a version is the state that every other copy has at it.
        assert describe(copy) == describe(build(versions[: copy.version]))


@given(LOGS, st.integers(0, 12), st.integers(1, 5))
def test_pages_of_any_size_give_every_change_once(
    log: list[list[tuple[str, bool | None]]], after: int, size: int
) -> None:
    source = build(make_items(log))
    whole = source.list_after(after)
    assert whole == sorted(whole, key=lambda i: (i.version, i.kind, i.name))
    paged: list[Item] = []
    position = Position(after + 1)
    while True:
        page = source.list_from(position, size)
        paged.extend(page)
        if len(page) < size:
            break
        position = Position(page[-1].version, page[-1].kind, page[-1].name)
    assert paged == whole
    expected = {(i.kind, i.name): i for i in source.list_after(0) if i.version > after}
    assert {(i.kind, i.name): i for i in whole} == expected


def test_cost_of_following_is_that_of_the_changes() -> None:
    """With 35,000 accounts and a change every few seconds, readers must not search all of them."""
    configuration = Configuration()
    items = [
        Item("account", f"n{i}", 1, msgspec.json.encode({"name": f"n{i}", "key_digest": f"{i:x}"}))
        for i in range(5_000)
    ]
    configuration.apply(1, items)
    for version in range(2, 20_000):
        configuration.apply(version, [Item("zone", "z", version, b'{"name": "z"}')])
    # Positions that later changes have left are dropped, so memory does not grow with changes.
    assert len(configuration._positions) <= 2 * (len(items) + 1) + 1
    assert [item.version for item in configuration.list_after(19_990)] == [19_999]


def test_a_declaration_that_cannot_be_read_stops_nothing() -> None:
    """A newer instance accepts a field or a value that this one does not know.

    Raising here would leave this instance at its version for good, and a zone that operators
    take out later would go on getting work through it.
    """
    configuration = Configuration()
    configuration.apply(1, [Item("zone", "a", 1, b'{"name": "a", "colour": "red"}')])
    configuration.apply(2, [Item("zone", "a", 2, b'{"name": "a", "in_service": "never"}')])
    assert configuration.zones["a"].in_service
    assert configuration.unreadable == {("zone", "a")}
    configuration.apply(3, [Item("zone", "a", 3, b'{"name": "a", "in_service": false}')])
    assert not configuration.is_zone_in_service("a")
    assert not configuration.unreadable


def test_bearer_keys_change_hands_in_one_change() -> None:
    def account(name: str, digest: str) -> bytes:
        return msgspec.json.encode({"name": name, "key_digest": digest})

    configuration = Configuration()
    items = [Item("account", "x", 1, account("x", "1")), Item("account", "y", 1, account("y", "2"))]
    configuration.apply(1, items)
    items = [Item("account", "x", 2, account("x", "2")), Item("account", "y", 2, account("y", "1"))]
    configuration.apply(2, items)
    assert {d: a.name for d, a in configuration.accounts.items()} == {"2": "x", "1": "y"}
    configuration.apply(
        3, [Item("account", "x", 3, b""), Item("account", "y", 3, account("y", "2"))]
    )
    assert {d: a.name for d, a in configuration.accounts.items()} == {"2": "y"}
