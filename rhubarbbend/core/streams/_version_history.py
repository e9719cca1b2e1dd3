"""Knows which versions of each service may have begun streams that callers may still take up.

What an instance has not seen is not known to have been absent: it may have started after the
targets of a version left. So the versions that serve are recorded in the store, and a version is
taken off its service's record only after it has been gone for longer than any stream is taken up.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Final

import msgspec

from rhubarbbend.core._rendezvous import rank_names

# No setting bounds how long a caller may wait before it takes a stream up again. This is far above
# the deadlines of requests, within which callers that behave do so.
STREAM_RETENTION_S: Final = 600.0
# Stands for the versions that served before a service's record began, and for targets that state an
# empty one: nothing tells them from others of their service.
UNKNOWN_VERSION: Final = ""
# Instances write a missing version one after the other, in an order that all compute alike, so that
# the store gets one write and not one from each.
RECORD_DELAY_S: Final = 0.5


class VersionRecord(msgspec.Struct, frozen=True):
    """The versions of a service whose streams callers may still take up, as kept in the store."""

    versions: tuple[str, ...]


class VersionHistory:
    """The versions of all services that were recorded when the store's table was read last."""

    def __init__(self, instance: str) -> None:
        self._instance = instance
        # Whether the table was read since the start, or since the last time it was forgotten.
        self.is_known = False
        self._recorded: dict[str, frozenset[str]] = {}
        # Since when a version of a service has been missing from its record.
        self._missing_since: dict[tuple[str, str], float] = {}

    def record_table(self, records: Mapping[str, VersionRecord]) -> None:
        """Record all that the store holds, by service."""
        self._recorded = {name: frozenset(record.versions) for name, record in records.items()}
        self.is_known = True

    def list_recorded(self) -> list[frozenset[str]]:
        """Return the recorded versions of each service."""
        return list(self._recorded.values())

    def forget(self) -> None:
        """Forget what the store holds: a version may have come and gone since it was read."""
        self._recorded = {}
        self.is_known = False

    def record_row(self, service: str, record: VersionRecord | None) -> None:
        """Record what the store holds of a service; None if it holds nothing."""
        if record is None:
            self._recorded.pop(service, None)
        else:
            self._recorded[service] = frozenset(record.versions)

    def find_only_version(
        self, service: str, seen: Collection[str], is_first_start: bool
    ) -> str | None:
        """Return the version that alone may have begun a stream; None if that is not known.

        `seen` are the versions that this instance knows of the last `STREAM_RETENTION_S`. If the
        whole system starts for the first time, nothing served before a service's record began.
        """
        if not self.is_known:
            return None
        before = frozenset() if is_first_start else frozenset({UNKNOWN_VERSION})
        versions = self._recorded.get(service, before).union(seen)
        return next(iter(versions)) if len(versions) == 1 else None

    def list_missing(
        self, registered: Mapping[str, Collection[str]], instances: Collection[str], now: float
    ) -> list[str]:
        """Return the services with a version that this instance has to record now.

        `registered` holds the versions of the registered targets by service.
        """
        missing = {
            (service, version)
            for service, versions in registered.items()
            for version in versions
            if version not in self._recorded.get(service, frozenset())
        }
        self._missing_since = {
            entry: self._missing_since.get(entry, now) for entry in sorted(missing)
        }
        due = {
            service
            for (service, _), since in self._missing_since.items()
            if now - since >= self._compute_delay(service, instances)
        }
        return sorted(due)

    def list_expired(self, service: str, seen: Collection[str]) -> list[str]:
        """Return the recorded versions whose streams nobody takes up any more.

        `seen` are the versions of the last `STREAM_RETENTION_S`, all of which this instance has
        followed.
        """
        return sorted(self._recorded.get(service, frozenset()).difference(seen))

    def _compute_delay(self, service: str, instances: Collection[str]) -> float:
        order = rank_names(service, sorted({*instances, self._instance}))
        return order.index(self._instance) * RECORD_DELAY_S


def extend_record(
    record: VersionRecord | None, versions: Collection[str], is_first_start: bool
) -> VersionRecord:
    """Return a service's record with more versions.

    Without a record, the versions of before are unknown, unless the whole system starts for the
    first time.
    """
    if record is not None:
        known = set(record.versions)
    else:
        known = set() if is_first_start else {UNKNOWN_VERSION}
    return VersionRecord(tuple(sorted(known.union(versions))))


def reduce_record(record: VersionRecord | None, expired: Collection[str]) -> VersionRecord | None:
    """Return a service's record without the versions that have expired; None if it has none."""
    if record is None:
        return None
    return VersionRecord(tuple(v for v in record.versions if v not in expired))
