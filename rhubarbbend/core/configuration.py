"""The accepted configuration: declarations by kind and name, each with its version.

The state holds only the newest value of each declaration, or a tombstone if it was removed, and
the version that set it. The changes after a version are therefore derived from the state itself,
and no change log is needed. Invariant: `version` never decreases.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

import msgspec

from rhubarbbend.decoding import decode_json

ANY_METHOD: Final = "*"
KIND_ENGINE: Final = "engine"


class Operation(msgspec.Struct, frozen=True):
    """An operation of a plain service; a `path` that ends in `*` matches by prefix."""

    path: str
    method: str = ANY_METHOD
    idempotent: bool = True


class Account(msgspec.Struct, frozen=True):
    """A client account. Of its bearer key only the hexadecimal SHA-256 digest is stored."""

    name: str
    key_digest: str
    weight: int = 1
    max_in_flight: int = 1_000


class Service(msgspec.Struct, frozen=True):
    """A service and the load limits of its targets.

    `kind` names a target kind plug-in and `policy` a routing policy plug-in. The load limit of a
    target is `bound` times the mean load, but at least `floor`. A target in a cold start may run
    `cold_slots` requests at once until it has completed `cold_requests` requests; after that its
    limit rises step by step. `prefill_rate` is in tokens per second; `max_wait` and the timeouts
    are in seconds.
    """

    name: str
    kind: str = "engine"
    policy: str = "affinity"
    bound: float = 1.25
    floor: int = 2
    cold_slots: int = 1
    cold_requests: int = 8
    max_queue: int = 256
    max_wait: float = 10.0
    prefill_rate: float = 8_000.0
    head_timeout: float = 60.0
    progress_timeout: float = 5.0
    checks_fence: bool = False
    operations: tuple[Operation, ...] = ()

    def find_operation(self, method: str, path: str) -> Operation | None:
        """Return the first declared operation that matches a request, or None."""
        for operation in self.operations:
            if operation.method not in (ANY_METHOD, method):
                continue
            if operation.path == path:
                return operation
            if operation.path.endswith("*") and path.startswith(operation.path[:-1]):
                return operation
        return None


class Model(msgspec.Struct, frozen=True):
    """A model, or an adapter of another model, and the service whose targets run it."""

    name: str
    service: str
    version: str = "1"
    adapter_of: str = ""


class Zone(msgspec.Struct, frozen=True):
    """An availability zone; its targets get no new work while it is out of service."""

    name: str
    in_service: bool = True


class TargetState(msgspec.Struct, frozen=True):
    """The state of one target as set by an operator; out of service, it gets no new work."""

    name: str
    in_service: bool = True


Declaration = Account | Service | Model | Zone | TargetState

KINDS: Final[dict[str, type[Declaration]]] = {
    "account": Account,
    "service": Service,
    "model": Model,
    "zone": Zone,
    "target": TargetState,
}


class Item(msgspec.Struct, frozen=True):
    """A declaration as stored; an empty value is a tombstone."""

    kind: str
    name: str
    version: int
    value: bytes


class Position(NamedTuple):
    """A position in the order of changes: by version, then by kind and name within a version."""

    version: int
    kind: str = ""
    name: str = ""


def decode_declaration(kind: str, value: bytes) -> Declaration:
    """Decode a stored declaration.

    Unknown fields are ignored: a newer instance may have accepted them, and rejecting the whole
    change would prevent this instance from ever applying a later version.

    Raises msgspec.MsgspecError if the value does not fit the kind, KeyError if the kind is unknown.
    """
    return decode_json(value, type=KINDS[kind])


class Configuration:
    """The declarations that have been applied.

    `accounts` is indexed by key digest; `services`, `models`, `zones` and `targets` by name.
    `unreadable` holds the kind and name of each item whose newest value cannot be decoded.

    Invariants: the indexes agree with the stored items that can be decoded. `_positions` holds the
    position of each item in ascending order, and may also hold positions that later changes of the
    same items have made obsolete.
    """

    def __init__(self) -> None:
        self.version = 0
        self.unreadable: set[tuple[str, str]] = set()
        self._items: dict[tuple[str, str], Item] = {}
        self._positions: list[Position] = []
        self.accounts: dict[str, Account] = {}
        self.services: dict[str, Service] = {}
        self.models: dict[str, Model] = {}
        self.zones: dict[str, Zone] = {}
        self.targets: dict[str, TargetState] = {}
        self._digest_by_account: dict[str, str] = {}

    def apply(self, version: int, items: Iterable[Item]) -> bool:
        """Apply the items of a newer version; return False and change nothing if it is not newer.

        Stale reads of the platform, or a peer that is behind, can deliver old versions. Applying
        them would revert accepted changes, so they are ignored completely.
        """
        if version <= self.version:
            return False
        for item in items:
            stored = self._items.get((item.kind, item.name))
            if stored is None or stored.version < item.version:
                self._store(item)
        self.version = version
        self._compact_positions()
        return True

    def list_changes_after(self, version: int, limit: int = 0) -> list[Item]:
        """Return the items that changed after a version, oldest first; `limit` 0 means all."""
        return self.list_changes_from(Position(version + 1), limit)

    def list_changes_from(self, position: Position, limit: int = 0) -> list[Item]:
        """Return the items after a position, oldest first; `limit` 0 means all.

        The cost is proportional to the number of items after the position. With tens of thousands
        of declarations and a change every few seconds, searching all of them for each reader would
        cost more than everything else the follower does.
        """
        found: list[Item] = []
        for index in range(bisect.bisect_right(self._positions, position), len(self._positions)):
            item_position = self._positions[index]
            item = self._items[(item_position.kind, item_position.name)]
            if item.version == item_position.version:
                found.append(item)
                if limit and len(found) == limit:
                    break
        return found

    def iterate_declared(self) -> Iterator[Item]:
        """Yield the items of all declarations that have not been removed."""
        return (item for item in self._items.values() if item.value)

    def is_zone_in_service(self, zone: str) -> bool:
        """Return whether a zone is in service; a zone that is not declared is."""
        declared = self.zones.get(zone)
        return declared is None or declared.in_service

    def is_target_in_service(self, target: str, zone: str) -> bool:
        """Return whether operators allow new work on a target: both it and its zone in service."""
        return self.is_target_declared_in_service(target) and self.is_zone_in_service(zone)

    def is_target_declared_in_service(self, target: str) -> bool:
        """Return whether a target itself is in service; a target that is not declared is.

        The state of its zone is not considered.
        """
        declared = self.targets.get(target)
        return declared is None or declared.in_service

    def find_service(self, name: str, model: str) -> Service | None:
        """Return the service that runs the model, or, without a model, the service of that name."""
        if model:
            declared = self.models.get(model)
            return None if declared is None else self.services.get(declared.service)
        return self.services.get(name)

    def _store(self, item: Item) -> None:
        key = (item.kind, item.name)
        self._items[key] = item
        item_position = Position(item.version, item.kind, item.name)
        if self._positions and item_position < self._positions[-1]:
            bisect.insort(self._positions, item_position)
        else:
            self._positions.append(item_position)
        self.unreadable.discard(key)
        try:
            self._index(item)
        except msgspec.MsgspecError:
            # The previous declaration stays in force. An exception would block this change and
            # every later one on this instance, while other instances that can decode the value
            # move on.
            self.unreadable.add(key)

    def _index(self, item: Item) -> None:
        index = self._find_index(item.kind)
        if item.kind == "account":
            self._index_account(item)
        elif index is None:
            return
        elif item.value:
            index[item.name] = decode_declaration(item.kind, item.value)
        else:
            index.pop(item.name, None)

    def _index_account(self, item: Item) -> None:
        account = decode_declaration(item.kind, item.value) if item.value else None
        previous_digest = self._digest_by_account.pop(item.name, None)
        holder = None if previous_digest is None else self.accounts.get(previous_digest)
        # The same change may already have assigned the key to another account.
        if previous_digest is not None and holder is not None and holder.name == item.name:
            del self.accounts[previous_digest]
        if isinstance(account, Account):
            self.accounts[account.key_digest] = account
            self._digest_by_account[item.name] = account.key_digest

    def _compact_positions(self) -> None:
        """Remove obsolete positions once there are more of them than items."""
        if len(self._positions) > 2 * len(self._items):
            self._positions = sorted(
                Position(item.version, item.kind, item.name) for item in self._items.values()
            )

    def _find_index(self, kind: str) -> dict[str, Declaration] | None:
        indexes: dict[str, object] = {
            "service": self.services,
            "model": self.models,
            "zone": self.zones,
            "target": self.targets,
        }
        return indexes.get(kind)  # type: ignore[return-value]
