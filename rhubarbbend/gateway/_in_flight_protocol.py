"""Exchanges counts of in-flight requests at engines with other instances, as datagrams.

They are sent to the address at which instances reach one another. Datagrams are used because a lost
count is sent again within half a second, while in a stream a count that waited behind a lost one
would be out of date.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.core.placement import (
    SEQUENCE_MODULUS,
    CountScope,
    InFlightPublisher,
    InFlightUpdate,
    compute_max_connections,
    compute_target_hash,
    is_plausible,
)
from rhubarbbend.core.readers import ReaderSelector
from rhubarbbend.decoding import decode_msgpack
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import ASSUMED_INSTANCES, State, read_clock

# Minimum interval between two rounds of messages; changes within it are sent together.
MIN_SEND_INTERVAL_S: Final = 0.05
# While nothing changes, how often to check whether counts are due to be sent again.
IDLE_CHECK_INTERVAL_S: Final = 0.25
# Maximum bytes sent per second. The store and the other messages between instances take the rest of
# the 27 KB available for control traffic.
MAX_BYTES_PER_S: Final = 16_000.0
# More than the number of messages that one instance sends in a second.
SEQUENCE_NUMBERS_PER_S: Final = 4_096
# The first byte of a notice; no encoded count begins with it.
NOTICE_MARK: Final = b"\xc1"
# IP and UDP headers that the system adds to a datagram.
DATAGRAM_HEADER_BYTES: Final = 28


class InFlightProtocol(asyncio.DatagramProtocol):
    """Sends this instance's counts to the others, and records theirs.

    Invariant: the bytes sent per second stay within the limit, however many receivers there are.
    """

    def __init__(self, state: State, selector: ReaderSelector) -> None:
        self._state = state
        self._selector = selector
        self._name = state.settings.instance
        # Derived from the clock, which advances faster than messages are sent, so that a restarted
        # process continues with a later number.
        first_number = int(time.time() * SEQUENCE_NUMBERS_PER_S) % SEQUENCE_MODULUS
        self._publisher = InFlightPublisher(self._name, first_number)
        # Senders whose messages are being rejected. Each is logged once until one is accepted.
        self._rejected: set[str] = set()
        self._changed = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        state.loads.on_own_change = self._changed.set
        # Called with each notice of another instance and its address; set by the instance.
        self.on_notice: Callable[[bytes, Address], None] = lambda data, address: None

    async def open(self, address: Address) -> None:
        """Open the socket on which counts are received and sent."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    def send_notice(self, data: bytes, address: Address) -> None:
        """Send a notice to another instance; it may be lost."""
        if self._transport is not None:
            self._transport.sendto(NOTICE_MARK + data, address)

    async def run(self) -> None:
        """Send counts to the other instances whenever they have changed, until cancelled."""
        while True:
            try:
                async with asyncio.timeout(IDLE_CHECK_INTERVAL_S):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            sent = self._send_all(read_clock())
            await asyncio.sleep(max(MIN_SEND_INTERVAL_S, sent / MAX_BYTES_PER_S))

    def _send_all(self, now: float) -> int:
        """Send each receiver the counts that are new to it, and return the number of bytes."""
        loads = self._state.loads
        own_counts = self._count_own()
        reader = self._select_reader(now)
        if reader is not None:
            self._publisher.retain_receivers({reader})
            return self._send_update(
                reader, CountScope.SENDER_GROUP, own_counts, 1, now, is_own=True
            )
        relays = self._selector.list_relays(self._state.instances, now)
        senders = loads.peer_counts.list_senders(now)
        waiting = loads.peer_counts.list_listeners(now)
        listeners = [s for s in waiting if s not in relays and s in self._state.instances]
        self._publisher.retain_receivers({*relays, *listeners})
        relayed_counts, instances = loads.peer_counts.add_up(listeners)
        group_counts = own_counts + relayed_counts
        sent = sum(
            self._send_update(s, CountScope.SENDER_GROUP, group_counts, 1 + instances, now)
            for s in relays
        )
        total, instances = loads.peer_counts.add_up(senders)
        for listener in listeners:
            receiver_counts, count = loads.peer_counts.add_up([listener])
            other_counts = own_counts + total - receiver_counts
            sent += self._send_update(
                listener, CountScope.ALL_EXCEPT_RECEIVER, other_counts, 1 + instances - count, now
            )
        return sent

    def _count_own(self) -> Counter[int]:
        """Return this instance's in-flight requests at engines, by target hash.

        Plain targets are left out, unless they are brittle: they respond within the time of a few
        of these messages, so their own load reports are as recent.
        """
        state = self._state
        services = {} if state.catalog is None else state.catalog.services
        now = read_clock()
        counted = {n for n, service in services.items() if state.has_peer_counts(service, now)}
        counts: Counter[int] = Counter()
        for name, count in state.loads.get_own_counts().items():
            target = state.registry.find(name)
            if target is not None and target.service in counted:
                counts[compute_target_hash(name)] += count
        return counts

    def _send_update(
        self,
        receiver: str,
        scope: CountScope,
        counts: Counter[int],
        instances: int,
        now: float,
        is_own: bool = False,
    ) -> int:
        row = self._state.instances.get(receiver)
        if row is None or self._transport is None:
            return 0
        message = self._publisher.prepare_update(receiver, scope, counts, instances, now, is_own)
        if message is None:
            return 0
        data = msgspec.msgpack.encode(message)
        self._transport.sendto(data, (row.host, row.port))
        return len(data) + DATAGRAM_HEADER_BYTES

    # Callbacks of asyncio.

    def connection_made(self, transport: Any) -> None:
        """Keep the transport of the socket that was opened."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Record the counts of another instance; count and drop a message that cannot be from one.

        Anyone who reaches this address can send to it. If accepted, one message in the name of an
        instance could make every engine look full, and all callers would be refused.
        """
        if data.startswith(NOTICE_MARK):
            self.on_notice(data.removeprefix(NOTICE_MARK), addr)
            return
        try:
            update = decode_msgpack(data, type=InFlightUpdate)
        except msgspec.MsgspecError:
            self._state.metrics.increment_counter(codes.PEER_FRAMES_BAD)
            return
        now = read_clock()
        row = self._state.list_senders(now).get(update.sender)
        if row is None or update.sender == self._name:
            self._state.metrics.increment_counter(codes.PEER_COUNTS_REJECTED)
        elif not row.may_send_from(*addr[:2]):
            self._reject(update, addr, "not sent from the sender's address", now)
        elif not self._is_plausible(update):
            self._reject(update, addr, "counts are too high to be plausible", now)
        elif (
            update.scope is CountScope.ALL_EXCEPT_RECEIVER
            and update.sender != self._select_reader(now)
        ):
            self._reject(update, addr, "sender is not this instance's reader", now)
        else:
            self._rejected.discard(update.sender)
            self._state.loads.record_peer_update(update, now)

    def _select_reader(self, now: float) -> str | None:
        return self._selector.select_reader(self._state.instances, now)

    def _is_plausible(self, update: InFlightUpdate) -> bool:
        instances = len(self._state.list_instance_ids())
        if self._state.catalog is None:
            return is_plausible(update, instances, None)
        # An instance that has not read the list yet assumes that this many instances share a limit.
        sharing = min(instances, ASSUMED_INSTANCES)
        services = self._state.catalog.services.values()
        max_requests = max(
            (compute_max_connections(service, sharing) for service in services), default=0
        )
        return is_plausible(update, instances, max_requests)

    def _reject(self, update: InFlightUpdate, addr: Address, reason: str, now: float) -> None:
        self._state.metrics.increment_counter(codes.PEER_COUNTS_REJECTED)
        if update.sender not in self._rejected:
            self._rejected.add(update.sender)
            origin = f"{addr[0]}:{addr[1]}"
            self._state.event_log.write(
                "counts_rejected", now, sender=update.sender, origin=origin, reason=reason
            )

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that could not be delivered.

        Nothing else is needed: counts are sent to the receiver again, and the other instances use
        that instance's last counts.
        """
        self._state.metrics.increment_counter(codes.PEER_DROPPED)
