"""Tests of the accepted configuration: its version never decreases, and copies converge."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from rhubarbbend.core.configuration import Configuration, Item, Position

NAMES = ["a", "b", "c", "d"]
# A log of change sets: for each version, the zones that it sets (True, False) or removes (None).
ENTRY = st.tuples(st.sampled_from(NAMES), st.sampled_from([True, False, None]))
LOGS = st.lists(st.lists(ENTRY, min_size=1, max_size=4, unique_by=lambda e: e[0]), max_size=12)


def make_items(log: list[list[tuple[str, bool | None]]]) -> list[list[Item]]:
    """Return the items of each version, starting with version 1."""
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


def build_configuration(versions: list[list[Item]]) -> Configuration:
    """Return a configuration to which the versions were applied one by one."""
    configuration = Configuration()
    for number, items in enumerate(versions, 1):
        configuration.apply(number, items)
    return configuration


def get_state(configuration: Configuration) -> tuple[int, list[Item], dict[str, bool]]:
    """Return everything that copies must agree on."""
    zones = {name: zone.in_service for name, zone in configuration.zones.items()}
    return configuration.version, configuration.list_changes_after(0), zones


@given(LOGS, st.data())
def test_copies_converge_under_reordered_and_repeated_updates(
    log: list[list[tuple[str, bool | None]]], data: st.DataObject
) -> None:
    """Guard against stale updates that revert changes, and against copies that differ for good.

    Lagging table reads and peers that are behind deliver updates of any version, repeatedly and in
    any order. An older update must change nothing. After the newest one the copy must equal it.
    """
    versions = make_items(log)
    copy = Configuration()
    update_versions = data.draw(st.lists(st.integers(0, len(versions)), max_size=20))
    for update_version in [*update_versions, len(versions)]:
        source = build_configuration(versions[:update_version])
        before = get_state(copy)
        applied = copy.apply(source.version, source.list_changes_after(copy.version))
        assert copy.version == max(before[0], update_version)
        assert applied == (update_version > before[0])
        if not applied:
            assert get_state(copy) == before
        # All copies at one version have the same state.
        assert get_state(copy) == get_state(build_configuration(versions[: copy.version]))


@given(LOGS, st.integers(0, 12), st.integers(1, 5))
def test_pages_of_any_size_contain_every_change_once(
    log: list[list[tuple[str, bool | None]]], after: int, size: int
) -> None:
    source = build_configuration(make_items(log))
    all_changes = source.list_changes_after(after)
    assert all_changes == sorted(all_changes, key=lambda i: (i.version, i.kind, i.name))
    paged_changes: list[Item] = []
    position = Position(after + 1)
    while True:
        page = source.list_changes_from(position, size)
        paged_changes.extend(page)
        if len(page) < size:
            break
        position = Position(page[-1].version, page[-1].kind, page[-1].name)
    assert paged_changes == all_changes
    expected = {(i.kind, i.name): i for i in source.list_changes_after(0) if i.version > after}
    assert {(i.kind, i.name): i for i in all_changes} == expected


def test_change_positions_stay_bounded() -> None:
    """Guard the cost of reading changes, and the memory, against growth with the number of changes.

    With 35,000 accounts and a change every few seconds, readers must not search all of them.
    """
    configuration = Configuration()
    items = [
        Item("account", f"n{i}", 1, msgspec.json.encode({"name": f"n{i}", "key_digest": f"{i:x}"}))
        for i in range(5_000)
    ]
    configuration.apply(1, items)
    for version in range(2, 20_000):
        configuration.apply(version, [Item("zone", "z", version, b'{"name": "z"}')])
    # Obsolete positions are removed, so memory does not grow with the number of changes.
    assert len(configuration._positions) <= 2 * (len(items) + 1) + 1
    assert [item.version for item in configuration.list_changes_after(19_990)] == [19_999]


def test_undecodable_declaration_does_not_block_later_changes() -> None:
    """Guard against an instance that stops applying changes after one that it cannot decode.

    A newer instance may accept a field or value that an older one does not know. If the older one
    raised an error it would never advance, and would keep sending work to zones that operators
    take out of service later.
    """
    configuration = Configuration()
    configuration.apply(1, [Item("zone", "a", 1, b'{"name": "a", "colour": "red"}')])
    configuration.apply(2, [Item("zone", "a", 2, b'{"name": "a", "in_service": "never"}')])
    assert configuration.zones["a"].in_service
    assert configuration.unreadable == {("zone", "a")}
    configuration.apply(3, [Item("zone", "a", 3, b'{"name": "a", "in_service": false}')])
    assert not configuration.is_zone_in_service("a")
    assert not configuration.unreadable


def test_accounts_can_swap_bearer_keys_in_one_change() -> None:
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
