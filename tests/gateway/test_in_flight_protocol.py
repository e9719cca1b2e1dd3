"""Tests of the datagrams with in-flight counts, delivered without a network."""

from __future__ import annotations

import msgspec
import pytest

from rhubarbbend import codes
from rhubarbbend.core.catalog import Catalog, Engine, Service, TrafficLimits
from rhubarbbend.core.mirror import TablePage
from rhubarbbend.core.placement import CountScope, InFlightUpdate, compute_target_hash
from rhubarbbend.core.readers import InstanceRow, ReaderSelector
from rhubarbbend.gateway._event_log import EventLog
from rhubarbbend.gateway._in_flight_protocol import InFlightProtocol
from rhubarbbend.gateway._settings import GatewaySettings
from rhubarbbend.gateway._state import INSTANCE_TABLE, State
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
