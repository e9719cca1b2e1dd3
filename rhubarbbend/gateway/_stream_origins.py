"""Finds the origin of streams that callers take up again, and records it of new ones."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from typing import Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.background import BackgroundTasks
from rhubarbbend.codes import ErrorCode
from rhubarbbend.core.catalog import RequestKind
from rhubarbbend.core.directory import Target
from rhubarbbend.core.streams import (
    STREAM_RETENTION_S,
    USUAL_STREAM_AGE_S,
    StreamLedger,
    StreamOrigin,
    compute_origin,
    make_stream_key,
)
from rhubarbbend.decoding import decode_msgpack
from rhubarbbend.gateway._requests import OpenRequest
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._start_confirmer import StartConfirmer
from rhubarbbend.gateway._state import INSTANCE_TABLE, Clock, State
from rhubarbbend.gateway._stream_keepers import (
    UNCERTAIN_ORIGIN,
    StreamKeepers,
    StreamQuery,
    StreamReply,
)
from rhubarbbend.gateway._stream_records import StreamRecordReader, StreamRecords

# How an origin came to be known, in the log.
SOURCE_OWN: Final = "own"
SOURCE_STORE: Final = "store"
SOURCE_ONLY_VERSION: Final = "only version"
# Streams remembered for each target; more than it begins in the time for which they matter.
MAX_BEGUN: Final = 2_000
# An instance may be ready before it has read who the other instances are and which versions served,
# which takes some ms more.
START_WAIT_S: Final = 0.8


class OriginSearch(msgspec.Struct):
    """What was found of a stream that a caller takes up: its origin, and who knew it.

    `asked` and `replied` are the numbers of keepers, to tell in the log whether one that may know
    the stream did not reply. `has_read_records` is whether the store was read, too.
    """

    origin: int | None = None
    source: str = ""
    asked: int = 0
    replied: int = 0
    has_read_records: bool = False


class StreamOrigins:
    """What this instance knows and finds out about origins of streams.

    Invariant: a request that continues a stream has an origin before it is sent to a target.
    """

    def __init__(
        self,
        state: State,
        keepers: StreamKeepers,
        records: StreamRecordReader,
        starts: StartConfirmer,
        clock: Clock,
    ) -> None:
        self._state = state
        self._keepers = keepers
        self._records = records
        self._starts = starts
        self._confirming = BackgroundTasks(state.report_internal_error)
        self._clock = clock
        self._ledger = StreamLedger()
        # The streams that began at each start of a target lately, with the times.
        self._begun_at: dict[str, deque[tuple[float, int]]] = {}
        # Called with streams whose origins are not certain any more; set by the instance.
        self.on_forgotten: Callable[[set[int]], None] = lambda streams: None
        # Called with the hashes of each stream that begins and its origin; set by the instance.
        self.on_begun: Callable[[int, int], None] = lambda stream, origin: None
        # Whether the origins that the store holds were read; set by the instance.
        self.is_loaded: Callable[[], bool] = lambda: True

    # Streams that begin.

    def record_begun(self, request: OpenRequest, target: Target) -> None:
        """Record that the first event of an answer came from a target, and tell the keepers.

        A stream that was taken up again is told anew: the list of instances may have changed.
        """
        if request.origin is None:
            is_recorded = request.route.idempotent
            if is_recorded and self._starts.is_needed(target, request.connected_at):
                request.origin = UNCERTAIN_ORIGIN
                self._confirming.spawn(self._confirm_begun(request, target))
                return
            request.origin = compute_origin(target.service, target.version)
        self._record(request, target, request.origin)

    async def _confirm_begun(self, request: OpenRequest, target: Target) -> None:
        """Record a stream whose origin is uncertain, once its target has stated its start.

        Until then the stream goes on nowhere else.
        """
        if await self._starts.confirm(target):
            request.origin = compute_origin(target.service, target.version)
            self._record(request, target, request.origin)

    def _record(self, request: OpenRequest, target: Target, origin: int) -> None:
        if not request.route.idempotent:
            return
        key = _make_key(request)
        self._ledger.record(key, origin, self._clock())
        self.on_begun(key, origin)
        begun = self._begun_at.setdefault(target.incarnation, deque(maxlen=MAX_BEGUN))
        begun.append((self._clock(), key))
        self._keepers.tell(key, origin)

    def handle_restart(self, former: Target, target: Target) -> None:
        """Forget which version began the last streams at a target that has started again.

        Its registration tells so later than it serves, so its new version may have begun them.
        """
        begun = self._begun_at.pop(former.incarnation, ())
        if former.version == target.version:
            return
        now = self._clock()
        recent = {key for at, key in begun if now - at <= USUAL_STREAM_AGE_S}
        for key in recent:
            self._ledger.forget(key)
            self._keepers.tell(key, UNCERTAIN_ORIGIN)
        self.on_forgotten(recent)

    def expire(self, now: float) -> None:
        """Forget at which targets streams began that nobody takes up any more."""
        self._begun_at = {
            incarnation: begun
            for incarnation, begun in self._begun_at.items()
            if now - begun[-1][0] <= USUAL_STREAM_AGE_S
        }

    def handle_notice(self, data: bytes, address: Address) -> None:
        """Record what another instance tells; drop what cannot be from one."""
        notice = self._keepers.decode_notice(data, address)
        if notice is None:
            return
        if notice.origin == UNCERTAIN_ORIGIN:
            self._ledger.forget(notice.stream)
        else:
            self._ledger.record(notice.stream, notice.origin, self._clock())

    def record_stored(self, origins: Iterable[StreamOrigin]) -> None:
        """Record what the store held at the start of this instance."""
        for entry in origins:
            self._ledger.record(entry.stream, entry.origin, self._clock())

    def serve(self, body: bytes) -> bytes:
        """Answer another instance's query; raise `MsgspecError` if it is invalid."""
        query = decode_msgpack(body, type=StreamQuery)
        return msgspec.msgpack.encode(StreamReply(self._ledger.find(query.stream, self._clock())))

    # Streams that are taken up again.

    async def resolve(self, request: OpenRequest) -> ErrorCode | None:
        """Find the origin of the stream that a request continues; return why it may not go on."""
        if request.is_detour or not _is_resumption(request):
            return None
        found = await self._find_origin(request)
        version = await self._find_version(request, found)
        self._state.event_log.write(
            "stream_taken_up",
            self._clock(),
            id=request.id,
            resumes=request.caller.resumes or None,
            after=request.caller.last_event_id or None,
            version=version,
            source=found.source or None,
            asked=found.asked,
            replied=found.replied,
        )
        if found.origin is None:
            return codes.STREAM_UNKNOWN
        request.origin = found.origin
        if version is None:
            return codes.STREAM_VERSION_GONE
        self._state.metrics.increment_counter(codes.STREAMS_TAKEN_UP)
        return None

    async def _find_origin(self, request: OpenRequest) -> OriginSearch:
        """Return the origin of the stream and who knew it.

        Of one that is not named or that nobody knows, as after the loss of all instances, it is
        known at best that one version alone can have begun it. This is read from the store now,
        since another version may have come while this instance was cut off.
        """
        await self._wait_for_start()
        found = OriginSearch()
        if request.caller.resumes:
            key = _make_key(request)
            own = self._ledger.find(key, self._clock())
            if own is not None:
                return OriginSearch(own, SOURCE_OWN)
            kept = await self._keepers.ask(key)
            found = OriginSearch(kept.origin, kept.keeper, kept.asked, kept.replied)
        if found.origin is None:
            records = await self._records.read()
            found.has_read_records = True
            if records is not None:
                self._search_records(request, records, found)
        return found

    def _search_records(
        self, request: OpenRequest, records: StreamRecords, found: OriginSearch
    ) -> None:
        if request.caller.resumes:
            found.origin = records.origins.get(_make_key(request))
            found.source = SOURCE_STORE
        if found.origin is None:
            service = request.service.name
            only = self._find_only_version(service, self._clock())
            found.origin = None if only is None else compute_origin(service, only)
            found.source = "" if only is None else SOURCE_ONLY_VERSION

    def _find_only_version(self, service: str, now: float) -> str | None:
        """Return the version of a service that alone can have begun any stream, if that is known.

        The store's record and the registrations must have just been read.
        """
        seen = self._state.registry.list_versions_since(service, STREAM_RETENTION_S, now)
        return self._state.version_history.find_only_version(
            service, seen, self._state.settings.is_first_start
        )

    async def _wait_for_start(self) -> None:
        """Wait until other instances and recorded versions are known, shortly after the start."""
        ends_at = self._state.started_at + START_WAIT_S
        while not self._knows_others():
            now = self._clock()
            if now >= ends_at:
                return
            await self._state.changed.wait(ends_at - now)

    def _knows_others(self) -> bool:
        is_listed = self._state.mirror.tables[INSTANCE_TABLE].known
        return is_listed and self._state.version_history.is_known and self.is_loaded()

    async def _find_version(self, request: OpenRequest, found: OriginSearch) -> str | None:
        """Return the version of an origin, None if it has no target that may be used.

        The version may have come while this instance was cut off or stood still, so the targets
        that are registered now are read before a stream is refused.
        """
        if found.origin is None:
            return None
        version = self._find_known_version(request, found.origin)
        if version is None and not found.has_read_records:
            await self._records.read()
            version = self._find_known_version(request, found.origin)
        return version

    def _find_known_version(self, request: OpenRequest, origin: int) -> str | None:
        service = request.service.name
        for target in self._state.registry.list_available(service, self._clock()):
            if compute_origin(service, target.version) == origin:
                return target.version
        return None


def _is_resumption(request: OpenRequest) -> bool:
    caller = request.caller
    is_stream = request.route.kind is RequestKind.STREAM
    return is_stream and bool(caller.resumes or caller.last_event_id)


def _make_key(request: OpenRequest) -> int:
    account = "" if request.account is None else request.account.name
    return make_stream_key(account, request.caller.resumes or request.id)
