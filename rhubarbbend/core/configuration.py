"""The accepted configuration: declarations by kind and name, each with the version it came in.

The state is compact: it holds the newest value of each declaration, or a removal mark, and the
version that brought it. What changed after a version is therefore served from the state itself
and no log of changes has to be kept. Invariant: `version` never goes down.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple

import msgspec

ANY_METHOD: Final = "*"
KIND_ENGINE: Final = "engine"


class Operation(msgspec.Struct, frozen=True):
    """One operation of a plain service; `path` may end in `*`."""

    path: str
    method: str = ANY_METHOD
    idempotent: bool = True


class Account(msgspec.Struct, frozen=True):
    """A client account. Only the SHA-256 digest of its bearer key is kept, in hexadecimal."""

    name: str
    key_digest: str
    weight: int = 1
    max_in_flight: int = 1_000


class Service(msgspec.Struct, frozen=True):
    """A service and how its targets may be loaded.

    `kind` names a target kind plug-in, `policy` a routing policy plug-in. `bound` is the set
    multiple of the mean load, `floor` the load that is always allowed. `cold_slots` is what a
    target in a cold start can bear at once, `cold_requests` how many requests it has to finish
    before it bears more; `prefill_rate` is in tokens a second.
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
        """Find the first declared operation that fits a request."""
        for operation in self.operations:
            if operation.method not in (ANY_METHOD, method):
                continue
            if operation.path == path:
                return operation
            if operation.path.endswith("*") and path.startswith(operation.path[:-1]):
                return operation
        return None


class Model(msgspec.Struct, frozen=True):
    """A model, or an adapter of one, and the service whose targets run it."""

    name: str
    service: str
    version: str = "1"
    adapter_of: str = ""


class Zone(msgspec.Struct, frozen=True):
    """An availability zone; no new work goes to its targets while out of service."""

    name: str
    in_service: bool = True


class TargetState(msgspec.Struct, frozen=True):
    """An operator's word on one target."""

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
    """A declaration as stored; an empty value marks a removal."""

    kind: str
    name: str
    version: int
    value: bytes


class Position(NamedTuple):
    """A place in the order of changes: by version, then kind and name within one version."""

    version: int
    kind: str = ""
    name: str = ""


def decode_declaration(kind: str, value: bytes) -> Declaration:
    """Decode a stored declaration; raises msgspec.MsgspecError or KeyError if it is not one.

    Unknown fields are ignored: a newer instance may have accepted them, and refusing the whole
    change would keep this one at its version for good.
    """
    return msgspec.json.decode(value, type=KINDS[kind])


class Configuration:
    """The declarations in force.

    Invariants: typed indexes agree with the stored items that can be read, and `_order` holds the
    position of each item in ascending order, among positions that later changes have left.
    """

    def __init__(self) -> None:
        self.version = 0
        self.unreadable: set[tuple[str, str]] = set()
        self._items: dict[tuple[str, str], Item] = {}
        self._order: list[Position] = []
        self.accounts: dict[str, Account] = {}
        self.services: dict[str, Service] = {}
        self.models: dict[str, Model] = {}
        self.zones: dict[str, Zone] = {}
        self.targets: dict[str, TargetState] = {}
        self._account_digest: dict[str, str] = {}

    def apply(self, version: int, items: Iterable[Item]) -> bool:
        """Put items of a newer version in force; an older version changes nothing.

        A platform that serves old reads, or a peer that is behind, offers versions that are
        already in force. Taking them would revert accepted changes, so they are ignored whole.
        """
        if version <= self.version:
            return False
        for item in items:
            known = self._items.get((item.kind, item.name))
            if known is None or known.version < item.version:
                self._store(item)
        self.version = version
        self._compact_order()
        return True

    def list_after(self, version: int, limit: int = 0) -> list[Item]:
        """List what changed after a version, oldest first, at most `limit` items if given."""
        return self.list_from(Position(version + 1), limit)

    def list_from(self, position: Position, limit: int = 0) -> list[Item]:
        """List what comes after a position; its cost is that of the items it gives.

        With tens of thousands of declarations and a change every few seconds, a search through
        all of them for each reader would cost more than everything else the follower does.
        """
        found: list[Item] = []
        for index in range(bisect.bisect_right(self._order, position), len(self._order)):
            place = self._order[index]
            item = self._items[(place.kind, place.name)]
            if item.version == place.version:
                found.append(item)
                if limit and len(found) == limit:
                    break
        return found

    def iterate_live(self) -> Iterator[Item]:
        """Yield the declarations that are not removed."""
        return (item for item in self._items.values() if item.value)

    def is_zone_in_service(self, zone: str) -> bool:
        """A zone nobody declared is in service."""
        declared = self.zones.get(zone)
        return declared is None or declared.in_service

    def is_target_in_service(self, target: str, zone: str) -> bool:
        """Whether operators allow new work to a target."""
        return self.is_target_declared_in(target) and self.is_zone_in_service(zone)

    def is_target_declared_in(self, target: str) -> bool:
        """A target nobody declared is in service as far as its zone is."""
        declared = self.targets.get(target)
        return declared is None or declared.in_service

    def find_service(self, name: str, model: str) -> Service | None:
        """Find a service by name, or by the model that it runs."""
        if model:
            declared = self.models.get(model)
            return None if declared is None else self.services.get(declared.service)
        return self.services.get(name)

    def _store(self, item: Item) -> None:
        key = (item.kind, item.name)
        self._items[key] = item
        place = Position(item.version, item.kind, item.name)
        if self._order and place < self._order[-1]:
            bisect.insort(self._order, place)
        else:
            self._order.append(place)
        self.unreadable.discard(key)
        try:
            self._index(item)
        except msgspec.MsgspecError:
            # The former declaration stays in force. Raising would stop this and every later
            # change here, while the instances that can read it go on without this one.
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
        former = self._account_digest.pop(item.name, None)
        holder = None if former is None else self.accounts.get(former)
        # In the same change the key may have become another account's.
        if former is not None and holder is not None and holder.name == item.name:
            del self.accounts[former]
        if isinstance(account, Account):
            self.accounts[account.key_digest] = account
            self._account_digest[item.name] = account.key_digest

    def _compact_order(self) -> None:
        """Drop positions that later changes have left, once they outnumber the items."""
        if len(self._order) > 2 * len(self._items):
            self._order = sorted(
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
