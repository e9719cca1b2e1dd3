"""Reads from the store which version began a stream that no instance within reach knows.

Instances may be cut off from one another, or restarted and without what they knew. The store still
tells the origin of a stream, or that one version alone can have begun it. What an instance has read
earlier does not tell the latter: it may have been cut off from the store, or suspended, while a
version came.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.core.streams import compute_read_interval
from rhubarbbend.gateway._coalesced_call import CoalescedCall
from rhubarbbend.gateway._state import State, read_clock
from rhubarbbend.storage import StoreError

# A caller waits for so long at the most; it leaves after a gap of two seconds or more.
READ_TIMEOUT_S: Final = 1.0


class StreamRecords(msgspec.Struct, frozen=True):
    """The origins of streams that the store held at one time; empty while one version serves."""

    origins: Mapping[int, int]


class StreamRecordReader:
    """Reads the origins of streams, the recorded versions and the targets, once for all callers."""

    def __init__(
        self,
        state: State,
        read_versions: Callable[[], Awaitable[None]],
        read_targets: Callable[[], Awaitable[None]],
        read_origins: Callable[[], Awaitable[Mapping[int, int]]],
    ) -> None:
        self._state = state
        # Bring what this instance knows up to date; raise `StoreError` on failure.
        self._read_versions = read_versions
        self._read_targets = read_targets
        # Returns the origins of the streams in the store, if there can be any.
        self._read_origins = read_origins
        self._call = CoalescedCall(self._read, read_clock)

    async def read(self) -> StreamRecords | None:
        """Return what the store holds now, None if it does not answer in time.

        If it returns records, the versions and targets that this instance knows are as recent.
        """
        interval = compute_read_interval(len(self._state.list_instance_ids()))
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await self._call.get(interval)
        except TimeoutError:
            self._log("stream_records_not_read", reason="no answer within the time-out")
            return None

    async def _read(self) -> StreamRecords | None:
        self._state.metrics.increment_counter(codes.STREAM_RECORDS_READ)
        try:
            await asyncio.gather(self._read_versions(), self._read_targets())
            return StreamRecords(await self._read_origins())
        except StoreError as error:
            self._log("stream_records_not_read", reason=str(error))
            return None

    def _log(self, event: str, **fields: Any) -> None:
        self._state.event_log.write(event, read_clock(), **fields)
