"""Helpers that drive several cores by events at simulated times, without network delay."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from rhubarbbend.core import Core, CoreOptions, Identity, actions, events

ACCOUNT = {"key_digest": "a" * 64}
T = TypeVar("T", bound=actions.Action)


def make_core(
    name: str, zone: str = "a", seed: int = 1, options: CoreOptions | None = None
) -> Core:
    """Create a core that has not started."""
    identity = Identity(name, zone, "127.0.0.1", 1, 2, 7, b"s" * 16)
    return Core(identity, options or CoreOptions(), seed)


def start_core(name: str, zone: str = "a", now: float = 0.0, **options: float) -> Core:
    """Create and start a core; the object store holds no configuration snapshot."""
    core = make_core(name, zone, options=CoreOptions(**options))  # type: ignore[arg-type]
    core.handle(events.Started(1_000.0), now)
    core.handle(events.SnapshotRead("done"), now)
    core.context.are_members_known = True
    return core


def add_seed(core: Core, other: Core, now: float = 0.0) -> None:
    """Make another core known to a core as a seed instance."""
    identity = other.context.identity
    seed = events.SeedNamed(identity.instance, identity.zone, identity.host, identity.peer_port)
    core.handle(seed, now)


def make_row(version: int, *items: tuple[str, str, bytes], author: str = "ana") -> events.Row:
    """Return the table row of an accepted change."""
    change = {
        "version": version,
        "change_id": f"id-{version}",
        "author": author,
        "items": [(kind, name, value) for kind, name, value in items],
    }
    return events.Row(f"{version:016d}", msgspec.json.encode(change), 1)


def make_zone(name: str, in_service: bool) -> tuple[str, str, bytes]:
    """Return the item of a zone, as kind, name and JSON value."""
    value = msgspec.json.encode({"name": name, "in_service": in_service})
    return "zone", name, value


def answer_scan(
    core: Core, now: float, *rows: events.Row, status: str = "done"
) -> list[actions.Action]:
    """Answer the core's scan of the configuration changes and return the resulting actions."""
    return core.handle(events.RowsRead("config:scan", status, list(rows)), now)


def filter_actions(found: list[actions.Action], kind: type[T]) -> list[T]:
    """Return the actions of one type."""
    return [action for action in found if isinstance(action, kind)]


def deliver_messages(
    cores: dict[str, Core], sender: str, found: list[actions.Action], now: float, limit: int = 1000
) -> int:
    """Deliver the messages among actions and all that they cause; return the number delivered.

    Messages to instances that are not in `cores` are dropped. More than `limit` messages fail the
    test.
    """
    queue = [(sender, action) for action in filter_actions(found, actions.SendPeer)]
    delivered = 0
    while queue:
        origin, action = queue.pop(0)
        if action.peer not in cores:
            continue
        delivered += 1
        assert delivered <= limit, "more messages were delivered than the limit allows"
        event = events.PeerSaid(origin, action.message)
        more = cores[action.peer].handle(event, now)
        queue.extend((action.peer, a) for a in filter_actions(more, actions.SendPeer))
    return delivered


def run_timers(core: Core, until: float) -> list[actions.Action]:
    """Run the timers of a core that are due until a time; return all resulting actions."""
    found: list[actions.Action] = []
    due = core.next_timer()
    while due is not None and due <= until:
        found.extend(core.handle(events.TimerDue(), due))
        due = core.next_timer()
    return found
