"""Tests of the datagrams with in-flight counts, delivered without a network."""

from __future__ import annotations

import zlib
from typing import Any, cast

import msgspec
import pytest

from rhubarbbend import codes
from rhubarbbend.core.catalog import Catalog, Engine, Service, TrafficLimits
from rhubarbbend.core.directory import TargetRecord, TargetState
from rhubarbbend.core.mirror import TablePage
from rhubarbbend.core.placement import CountScope, InFlightUpdate, compute_target_hash
from rhubarbbend.core.readers import InstanceRow, ReaderSelector
from rhubarbbend.gateway._event_log import EventLog
from rhubarbbend.gateway._in_flight_protocol import NOTICE_MARK, InFlightProtocol
from rhubarbbend.gateway._peers import PeerClient
from rhubarbbend.gateway._settings import GatewaySettings
from rhubarbbend.gateway._start_confirmer import StartConfirmer
from rhubarbbend.gateway._state import INSTANCE_TABLE, State, read_clock
from rhubarbbend.gateway._stream_keepers import StreamKeepers
from rhubarbbend.gateway._stream_origins import StreamOrigins
from rhubarbbend.gateway._stream_records import StreamRecordReader
from rhubarbbend.http import ConnectionPool
from tests.gateway.harness import run

FLEET_SIZE = 195
MAX_CONNECTIONS = 1_300


def make_protocol() -> tuple[State, InFlightProtocol]:
    """Return the state and protocol of an instance that knows a large fleet."""
    address = ("127.0.0.1", 1)
    settings = GatewaySettings("front-0", "zone-0", address, address, address)
    state = State(settings, ("config", "targets"), EventLog("front-0", descriptor=2))
    state.mirror.merge({INSTANCE_TABLE: TablePage([], 1, True)})
    for number in range(FLEET_SIZE):
        state.add_instance(f"front-{number}", InstanceRow(f"zone-{number}", "10.0.0.9", number))
    engines = Service("llm", MAX_CONNECTIONS, 0.0, 0.0, Engine(24, 1_000, 1))
    state.catalog = Catalog(1, [], [engines], None, TrafficLimits(1, 1, 1.0, 1.0))
    return state, InFlightProtocol(state, ReaderSelector("front-0", "zone-0"))


@pytest.mark.parametrize(
    ("sender", "host", "count", "is_accepted"),
    [
        (7, "10.0.0.9", 3, True),
        (7, "10.0.0.8", 3, False),
        (8, "10.0.0.9", 3, False),
        (7, "10.0.0.9", 500, False),
        # The sender has not read the list yet and assumes that twelve instances share the limit.
        (7, "10.0.0.9", 80, True),
    ],
)
def test_only_plausible_counts_from_their_sender_are_accepted(
    sender: int, host: str, count: int, is_accepted: bool
) -> None:
    # Right after the whole fleet has started, a few instances serve every caller before they know
    # how many there are. When their counts were rejected, engines filled up unnoticed. If any count
    # were accepted, one message could make every engine look full.
    async def work() -> None:
        state, protocol = make_protocol()
        update = InFlightUpdate(
            f"front-{sender}",
            CountScope.SENDER_GROUP,
            1,
            True,
            {compute_target_hash("engine"): count},
            1,
        )
        protocol.datagram_received(msgspec.msgpack.encode(update), (host, 7))
        assert state.loads.estimate("engine", True, 0.0) == (count if is_accepted else 0)
        assert state.metrics.read_counter(codes.PEER_COUNTS_REJECTED) == (0 if is_accepted else 1)

    run(work)


def test_counts_are_accepted_before_the_configuration_is_known() -> None:
    async def work() -> None:
        state, protocol = make_protocol()
        state.catalog = None
        update = InFlightUpdate(
            "front-7", CountScope.SENDER_GROUP, 1, True, {compute_target_hash("engine"): 9}, 1
        )
        protocol.datagram_received(msgspec.msgpack.encode(update), ("10.0.0.9", 7))
        assert state.loads.estimate("engine", True, 0.0) == 9.0

    run(work)


class FixedSelector(ReaderSelector):
    """Selects no reader, and always the same relays, whatever the list of instances says."""

    def __init__(self, relays: list[str]) -> None:
        super().__init__("front", "zone-0")
        self._fixed_relays = relays

    def select_reader(self, instances: object, now: float) -> str | None:
        return None

    def list_relays(self, instances: object, now: float) -> list[str]:
        return self._fixed_relays


class DirectTransport:
    """Delivers datagrams to the protocols of other instances, by port."""

    def __init__(self, port: int, protocols: list[InFlightProtocol]) -> None:
        self._address = ("10.0.0.9", port)
        self._protocols = protocols

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        if address[1] < len(self._protocols):
            self._protocols[address[1]].datagram_received(data, self._address)


def test_sums_are_not_added_up_again_when_lists_of_instances_differ() -> None:
    """Right after a start of all, lists differ, and so does who is taken for a relay.

    Each of three instances sends its sum to the next one, which takes it for an instance that waits
    there and adds its sum to its own. A single request came back and grew with every round, and
    engines looked full.
    """

    async def work() -> None:
        protocols: list[InFlightProtocol] = []
        states: list[State] = []
        for number in range(3):
            address = ("127.0.0.1", 1)
            settings = GatewaySettings(f"front-{number}", "zone-0", address, address, address)
            state = State(settings, ("config", "targets"), EventLog("front", descriptor=2))
            state.mirror.merge({INSTANCE_TABLE: TablePage([], 1, True)})
            for other in range(3):
                row = InstanceRow("zone-0", "10.0.0.9", other)
                state.add_instance(f"front-{other}", row)
            engines = Service("llm", MAX_CONNECTIONS, 0.0, 0.0, Engine(24, 1_000, 1))
            state.catalog = Catalog(1, [], [engines], None, TrafficLimits(1, 1, 1.0, 1.0))
            record = TargetRecord("engine", "llm", "10.0.0.1", 80, "a", 24, TargetState.READY)
            state.registry.register(record, 0.0)
            selector = FixedSelector([f"front-{(number + 1) % 3}"])
            protocol = InFlightProtocol(state, selector)
            protocol.connection_made(DirectTransport(number, protocols))
            protocols.append(protocol)
            states.append(state)
        states[0].loads.record_start("engine")
        for round_number in range(12):
            for protocol in protocols:
                protocol._send_all(100.0 + round_number)
        counts = [state.loads.peer_counts.count("engine", read_clock()) for state in states]
        assert max(counts) <= 1, counts

    run(work)


# Guards against engines that take more than their bound, and streams that nobody knows, while an
# instance stops: it leaves the list at once, and its datagrams were dropped until it ended.
@pytest.mark.parametrize(("after_s", "is_accepted"), [(0.0, True), (7.9, True), (8.1, False)])
def test_counts_of_an_instance_that_stops_are_accepted_until_its_stop_ends(
    after_s: float, is_accepted: bool
) -> None:
    async def work() -> None:
        state, protocol = make_protocol()
        state.remove_instance("front-7", read_clock() - after_s)
        update = InFlightUpdate(
            "front-7", CountScope.SENDER_GROUP, 1, True, {compute_target_hash("engine"): 3}, 1
        )
        protocol.datagram_received(msgspec.msgpack.encode(update), ("10.0.0.9", 7))
        assert state.loads.estimate("engine", True, 0.0) == (3.0 if is_accepted else 0.0)

    run(work)


async def read_nothing() -> None:
    """Stand for reads of the store that change nothing."""


async def read_no_origins() -> dict[int, int]:
    return {}


# Guards against anyone who reaches the port and says which version began a stream.
@pytest.mark.parametrize(
    ("data", "host", "is_accepted"),
    [
        (msgspec.msgpack.encode([zlib.crc32(b"front-7"), 5, 11]), "10.0.0.9", True),
        (msgspec.msgpack.encode([zlib.crc32(b"front-7"), 5, 11]), "10.0.0.8", False),
        (msgspec.msgpack.encode([zlib.crc32(b"front-8"), 5, 11]), "10.0.0.9", False),
        (b"no notice", "10.0.0.9", False),
    ],
)
def test_only_notices_of_streams_from_their_sender_are_accepted(
    data: bytes, host: str, is_accepted: bool
) -> None:
    async def work() -> None:
        state, protocol = make_protocol()
        peers = PeerClient(state, ConnectionPool(1.0), ReaderSelector("front-0", "zone-0"))
        keepers = StreamKeepers(state, peers, read_clock)
        records = StreamRecordReader(state, read_nothing, read_nothing, read_no_origins)
        starts = StartConfirmer(state, cast(Any, None), read_clock)
        origins = StreamOrigins(state, keepers, records, starts, read_clock)
        protocol.on_notice = origins.handle_notice
        protocol.datagram_received(NOTICE_MARK + data, (host, 7))
        reply = origins.serve(msgspec.msgpack.encode([5]))
        assert msgspec.msgpack.decode(reply) == [11 if is_accepted else None]

    run(work)
