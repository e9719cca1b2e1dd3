"""Tells other instances which requests this one has under way at each engine, and hears theirs.

By datagrams to the address at which instances reach one another: a count that is lost is told
again within half a second, and one that waited in a stream behind a lost one would be out of date.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
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
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import ASSUMED_INSTANCES, State, read_clock

# Changes are told together after this time at the least, in seconds.
TELL_INTERVAL: Final = 0.05
# While nothing changes, this often it is looked whether counts are due to be told again.
IDLE_INTERVAL: Final = 0.25
# What is sent at the most, in bytes a second: of the 27 KB for control, the store and the other
# messages between instances take the rest.
BYTES_PER_SECOND: Final = 16_000.0
# More than the messages that one instance sends in a second.
NUMBERS_PER_SECOND: Final = 4_096
# What the system adds to a datagram.
HEADER_BYTES: Final = 28


class LoadTelling(asyncio.DatagramProtocol):
    """Invariant: what is sent in a second stays within the bound, however many are told."""

    def __init__(self, state: State, selector: ReaderSelector) -> None:
        self._state = state
        self._selector = selector
        self._name = state.settings.instance
        # Goes on faster than messages do, so that a process comes back with a later number.
        first_number = int(time.time() * NUMBERS_PER_SECOND) % SEQUENCE_MODULUS
        self._teller = InFlightPublisher(self._name, first_number)
        # Senders whose messages are being rejected, each logged once until one is taken.
        self._rejected: set[str] = set()
        self._changed = asyncio.Event()
        self._transport: asyncio.DatagramTransport | None = None
        state.loads.on_own_change = self._changed.set

    async def open(self, address: Address) -> None:
        """Listen for the others, and be able to tell them."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    async def run(self) -> None:
        """Tell the others whenever something has changed."""
        while True:
            try:
                async with asyncio.timeout(IDLE_INTERVAL):
                    await self._changed.wait()
            except TimeoutError:
                pass
            self._changed.clear()
            sent = self._tell_all(read_clock())
            await asyncio.sleep(max(TELL_INTERVAL, sent / BYTES_PER_SECOND))

    def _tell_all(self, now: float) -> int:
        """Tell everyone what is new to them; gives the number of bytes."""
        loads = self._state.loads
        own = self._count_own()
        reader = self._choose_reader(now)
        if reader is not None:
            self._teller.retain_receivers({reader})
            return self._tell(reader, CountScope.SENDER_GROUP, own, 1, now)
        speakers = self._selector.list_relays(self._state.instances, now)
        senders = loads.peer_counts.list_senders(now)
        listeners = [s for s in senders if s not in speakers and s in self._state.instances]
        self._teller.retain_receivers({*speakers, *listeners})
        spoken_for, instances = loads.peer_counts.add_up(listeners)
        part = own + spoken_for
        sent = sum(
            self._tell(s, CountScope.SENDER_GROUP, part, 1 + instances, now) for s in speakers
        )
        total, instances = loads.peer_counts.add_up(senders)
        for listener in listeners:
            theirs, count = loads.peer_counts.add_up([listener])
            rest = own + total - theirs
            sent += self._tell(
                listener, CountScope.ALL_EXCEPT_RECEIVER, rest, 1 + instances - count, now
            )
        return sent

    def _count_own(self) -> Counter[int]:
        """Count this instance's requests at engines.

        Plain targets answer within a few of these messages; their own word is as new.
        """
        state = self._state
        services = {} if state.catalog is None else state.catalog.services
        engines = {name for name, service in services.items() if service.engine is not None}
        counts: Counter[int] = Counter()
        for name, count in state.loads.get_own_counts().items():
            target = state.registry.find(name)
            if target is not None and target.service in engines:
                counts[compute_target_hash(name)] += count
        return counts

    def _tell(
        self, receiver: str, scope: CountScope, counts: Counter[int], instances: int, now: float
    ) -> int:
        row = self._state.instances.get(receiver)
        if row is None or self._transport is None:
            return 0
        message = self._teller.prepare_update(receiver, scope, counts, instances, now)
        if message is None:
            return 0
        data = msgspec.msgpack.encode(message)
        self._transport.sendto(data, (row.host, row.port))
        return len(data) + HEADER_BYTES

    # The datagrams.

    def connection_made(self, transport: Any) -> None:
        """Take the socket that was opened."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take in what another instance tells; what cannot be its word is counted and dropped.

        Whoever reaches this address may send here. Believed, one message with the name of an
        instance could make every engine look full, and all callers would be refused.
        """
        try:
            told = msgspec.msgpack.decode(data, type=InFlightUpdate)
        except msgspec.MsgspecError:
            self._state.metrics.add(codes.PEER_FRAMES_BAD)
            return
        now = read_clock()
        row = self._state.instances.get(told.sender)
        if row is None or told.sender == self._name:
            self._state.metrics.add(codes.PEER_COUNTS_REJECTED)
        elif not row.may_send_from(*addr[:2]):
            self._reject(told, addr, "not the sender's address", now)
        elif not self._can_be(told):
            self._reject(told, addr, "more than there can be", now)
        elif told.scope is CountScope.ALL_EXCEPT_RECEIVER and told.sender != self._choose_reader(
            now
        ):
            self._reject(told, addr, "this instance does not wait there", now)
        else:
            self._rejected.discard(told.sender)
            self._state.loads.record_peer_update(told, now)

    def _choose_reader(self, now: float) -> str | None:
        return self._selector.select_reader(self._state.instances, now)

    def _can_be(self, told: InFlightUpdate) -> bool:
        instances = len(self._state.list_instances())
        if self._state.catalog is None:
            return is_plausible(told, instances, None)
        # One that has not read the list yet takes its part for that of one of so many.
        sharing = min(instances, ASSUMED_INSTANCES)
        services = self._state.catalog.services.values()
        engines = [service for service in services if service.engine is not None]
        most = max((compute_max_connections(service, sharing) for service in engines), default=0)
        return is_plausible(told, instances, most)

    def _reject(self, told: InFlightUpdate, addr: Address, reason: str, now: float) -> None:
        self._state.metrics.add(codes.PEER_COUNTS_REJECTED)
        if told.sender not in self._rejected:
            self._rejected.add(told.sender)
            origin = f"{addr[0]}:{addr[1]}"
            self._state.journal.write(
                "counts_rejected", now, sender=told.sender, origin=origin, reason=reason
            )

    def error_received(self, exc: Exception) -> None:
        """Leave it: an instance that is not there is told again, and the others go by its rest."""
        self._state.metrics.add(codes.PEER_DROPPED)
