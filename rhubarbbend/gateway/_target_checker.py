"""Finds out whether a target that was lost under a request has ended or only its link was lost.

A target that cannot be reached from here may be reached by others. So another instance is asked,
and one of the target's own availability zone first: what only instances of one other zone cannot
reach may be partitioned from them. One that reaches no other target of the service may have lost
its own links, so an instance that has said so is not asked.

A target may be back under its id and address before it is asked, so an id alone does not show that
it is the same start. Engines state their boot number; that of other targets is in the registry.
"""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Final

import msgspec

from rhubarbbend.core.catalog import Service
from rhubarbbend.core.crashes import Fate
from rhubarbbend.core.directory import Target, get_boot, get_target_id
from rhubarbbend.decoding import decode_msgpack
from rhubarbbend.gateway._coalesced_call import CoalescedCall
from rhubarbbend.gateway._interfaces import TargetProtocol
from rhubarbbend.gateway._peers import CHECK_PATH, PeerClient
from rhubarbbend.gateway._settings import Address
from rhubarbbend.gateway._state import Clock, State
from rhubarbbend.http import REASON_TIMEOUT, Connection, HttpFailure, receive_whole_body
from rhubarbbend.storage import StoreError

CONNECT_TIMEOUT_S: Final = 0.1
ANSWER_TIMEOUT_S: Final = 0.2
# A process that ends may still accept connections while its others are being closed, so one that
# closes a connection without an answer is tried again. One that goes on doing so while it keeps
# older connections open, or others have met its limit lately, is at its limit on connections.
MAX_TRIES: Final = 3
RETRY_DELAY_S: Final = 0.05
# Other targets of a service that are tried to find out whether this instance has links to it.
MAX_OTHERS_TRIED: Final = 2
MAX_REPORT_BYTES: Final = 65_536
# A sound target may be silent for a second or so, so one that has ended an answer is contacted up
# to this many times, with this pause between.
MAX_END_CHECKS: Final = 3
END_CHECK_INTERVAL_S: Final = 0.5
# Registrations are read at most this often to tell one start of a target from the next.
REGISTRATION_READ_INTERVAL_S: Final = 0.2
REGISTRATION_READ_TIMEOUT_S: Final = 1.0


class Contact(enum.Enum):
    """What a connection to a target's address shows."""

    SAME = "same"  # The target itself answers.
    SAME_ID = "same id"  # A target with its id answers and does not say which start of it it is.
    OTHER = "other"  # Another target answers, or another start of it.
    REFUSED = "refused"  # No connection is accepted, or each is closed without an answer.
    CUT_OFF = "cut off"  # No connection is accepted, nor is one by others of its service.
    # Each new connection is closed without an answer, while an older one is open or was lately.
    FULL = "full"
    SILENT = "silent"  # Nothing comes back that tells who it is.


# Contacts of a target that runs.
RUNNING_CONTACTS: Final = frozenset({Contact.SAME, Contact.SAME_ID})


class CheckQuery(msgspec.Struct, frozen=True, array_like=True):
    """Asks an instance to contact a target. `target` is one start of it; `address` the sender's."""

    target: str
    service: str
    address: Address


class CheckReply(msgspec.Struct, frozen=True, array_like=True):
    """What the contact showed."""

    contact: Contact


class FateCheck(msgspec.Struct, frozen=True):
    """What became of a target, and what its contacts showed.

    `contacts` are by the zones of the instances that tried, this one's under its own name; None
    stands for an instance that did not reply.
    """

    fate: Fate
    contacts: dict[str, Contact | None]

    def describe(self) -> str:
        """Return the contacts for a log line."""
        shown = {place: "no reply" if c is None else c.value for place, c in self.contacts.items()}
        return ", ".join(f"{place}: {contact}" for place, contact in shown.items())


# Asks over a connection who answers at a target's address.
Compare = Callable[[Connection, CheckQuery, Address], Awaitable[Contact | None]]


class TargetChecker:
    """Contacts lost targets, also for other instances."""

    def __init__(
        self,
        state: State,
        peers: PeerClient,
        targets: TargetProtocol,
        has_open_connection: Callable[[str, Address], bool],
        clock: Clock,
    ) -> None:
        self._state = state
        self._peers = peers
        self._targets = targets
        # Whether this instance has an open connection to a target, given its id and address.
        self._has_open_connection = has_open_connection
        self._clock = clock
        # Reads the registrations of targets anew; raises `StoreError`. Set by the instance.
        self.read_targets: Callable[[], Awaitable[None]] = _read_nothing
        self._registration_reads = CoalescedCall(self._try_read_targets, clock)

    async def find_fate(self, target: Target) -> FateCheck:
        """Return what became of a target, as far as this and other instances can tell."""
        query = _make_query(target)
        contact = await self._contact(query)
        contacts: dict[str, Contact | None] = {self._state.settings.instance: contact}
        if contact in RUNNING_CONTACTS:
            return FateCheck(Fate.ALIVE, contacts)
        if contact is Contact.OTHER:
            return FateCheck(Fate.ENDED, contacts)
        fate, seen = await self._ask_witnesses(target, query, contact)
        return FateCheck(fate, {**contacts, **seen})

    async def runs_on(self, target: Target, since: float) -> bool:
        """Return whether a target that has closed a connection in order is known to run on.

        `since` is when the request was sent that the connection carried.
        """
        check = await self.find_fate(target)
        for _ in range(MAX_END_CHECKS - 1):
            if check.fate is not Fate.UNKNOWN:
                break
            await asyncio.sleep(END_CHECK_INTERVAL_S)
            check = await self.find_fate(target)
        if check.fate is Fate.UNKNOWN:
            # A process that ends closes all its connections at once.
            return self._has_open_connection(target.id, target.address)
        if check.fate is Fate.ENDED:
            return False
        return Contact.SAME in check.contacts.values() or await self._has_not_restarted(
            target, since
        )

    def reports_boot(self, target: Target) -> bool:
        """Return whether a target can tell which start of it runs."""
        return self._reports_boot(_make_query(target))

    async def is_same_start(self, target: Target) -> bool:
        """Return whether a target states that it is the start that is registered."""
        return await self._contact(_make_query(target)) is Contact.SAME

    async def is_met(self, target: Target) -> bool:
        """Return whether a target answers at its address, as far as the answer tells who it is."""
        return await self._contact(_make_query(target)) in RUNNING_CONTACTS

    async def _has_not_restarted(self, target: Target, since: float) -> bool:
        """Return whether a target that runs is known not to have started again after `since`.

        A new start registers itself. If this instance has missed registrations meanwhile, as while
        it was suspended, it reads them.
        """
        now = self._clock()
        if self._state.registry.has_followed(now - since, now):
            return True
        try:
            async with asyncio.timeout(REGISTRATION_READ_TIMEOUT_S):
                has_read = await self._registration_reads.get(REGISTRATION_READ_INTERVAL_S)
        except TimeoutError:
            return False
        registered = self._state.registry.find(target.id)
        return has_read and registered is not None and registered.boot == target.boot

    async def _try_read_targets(self) -> bool:
        try:
            await self.read_targets()
        except StoreError as error:
            self._state.event_log.write("targets_not_read", self._clock(), reason=str(error))
            return False
        return True

    async def serve(self, body: bytes) -> bytes:
        """Contact a target for another instance; raise `MsgspecError` if the query is invalid."""
        query = decode_msgpack(body, type=CheckQuery)
        contact = await self._contact(query)
        if contact is Contact.REFUSED and not await self.reaches_another(
            get_target_id(query.target), query.service
        ):
            contact = Contact.CUT_OFF
        return msgspec.msgpack.encode(CheckReply(contact))

    async def reaches_another(self, target: str, service: str) -> bool:
        """Return whether some other target accepts a connection than the one with an id.

        It is one of the same service, unless there is none: the links to a service may be lost
        while those to others work.
        """
        if self._state.reach.is_unreached_here(service):
            return False
        others = [t for t in self._state.registry.list_targets() if t.id != target]
        others = [t for t in others if t.service == service] or others
        for other in self._state.random.sample(others, min(MAX_OTHERS_TRIED, len(others))):
            try:
                connection = await Connection.open(other.address, CONNECT_TIMEOUT_S)
            except HttpFailure:
                continue
            connection.close()
            return True
        return False

    async def _ask_witnesses(
        self, target: Target, query: CheckQuery, own: Contact
    ) -> tuple[Fate, dict[str, Contact | None]]:
        """Return what became of a target, and the contacts of other instances by their zones."""
        zones = self._select_witnesses(target)
        if not zones:
            # There is no other instance that could tell.
            has_ended = own is Contact.REFUSED and await self.reaches_another(
                target.id, target.service
            )
            return Fate.ENDED if has_ended else Fate.UNKNOWN, {}
        data = msgspec.msgpack.encode(query)
        replies = await asyncio.gather(*(self._ask(name, data) for name in zones.values()))
        contacts = dict(zip(zones, replies, strict=True))
        return self._judge_contacts(target, own, contacts), contacts

    def _judge_contacts(
        self, target: Target, own: Contact, seen: dict[str, Contact | None]
    ) -> Fate:
        contacts = dict(seen)
        if not RUNNING_CONTACTS.isdisjoint(contacts.values()):
            return Fate.ALIVE
        if Contact.OTHER in contacts.values():
            return Fate.ENDED
        if Contact.FULL in (own, *contacts.values()):
            return Fate.UNKNOWN
        # An instance of this zone may be cut off together with this one.
        if len(contacts) > 1 and target.zone != self._state.settings.zone:
            contacts.pop(self._state.settings.zone, None)
        return Fate.ENDED if Contact.REFUSED in contacts.values() else Fate.UNKNOWN

    def _select_witnesses(self, target: Target) -> dict[str, str]:
        """Return an instance for each of up to three availability zones, by zone.

        Those that do not reach the target's service cannot tell what became of it.
        """
        by_zone: dict[str, list[str]] = {}
        passed_over = {
            self._state.settings.instance,
            *self._state.reach.list_unreached_by(target.service, self._clock()),
        }
        for name, zone in self._state.instance_zones.items():
            if name not in passed_over:
                by_zone.setdefault(zone, []).append(name)
        own_zone = self._state.settings.zone
        order = sorted(by_zone, key=lambda zone: (zone != target.zone, zone == own_zone, zone))
        return {zone: self._state.random.choice(by_zone[zone]) for zone in order[:3]}

    async def _ask(self, instance: str, query: bytes) -> Contact | None:
        row = self._state.instances.get(instance)
        if row is None:
            return None
        reply = await self._peers.ask((row.host, row.port), CHECK_PATH, query)
        if not reply:
            return None
        try:
            return decode_msgpack(reply, type=CheckReply).contact
        except msgspec.MsgspecError as error:
            self._state.event_log.write("peer_unreadable", self._clock(), reason=str(error))
            return None

    async def _contact(self, query: CheckQuery) -> Contact:
        """Ask whoever is at a target's address who it is."""
        target = get_target_id(query.target)
        registered = self._state.registry.find(target)
        if registered is not None and registered.incarnation != query.target:
            return Contact.OTHER
        address = query.address if registered is None else registered.address
        if self._reports_boot(query):
            contact = await self._ask_target(self._compare_boot, query, address)
            if contact is not None:
                return contact
        return await self._ask_target(self._compare_id, query, address) or Contact.SILENT

    async def _ask_target(
        self, compare: Compare, query: CheckQuery, address: Address
    ) -> Contact | None:
        """Return what a connection to a target shows; None if the target answers and says nothing.

        `compare` asks who it is over the connection; it raises `HttpFailure` if it gets no answer.
        """
        target = get_target_id(query.target)
        for number in range(MAX_TRIES):
            if number:
                await asyncio.sleep(RETRY_DELAY_S)
            try:
                connection = await Connection.open(address, CONNECT_TIMEOUT_S)
            except HttpFailure as failure:
                return Contact.SILENT if failure.reason == REASON_TIMEOUT else Contact.REFUSED
            try:
                return await compare(connection, query, address)
            except HttpFailure as failure:
                if failure.reason == REASON_TIMEOUT or not connection.closed:
                    # Bytes that are no answer show that a process runs, but not which one.
                    return Contact.SILENT
            finally:
                connection.close()
        was_full = self._state.connection_limits.was_full(target, self._clock())
        is_full = was_full or self._has_open_connection(target, address)
        return Contact.FULL if is_full else Contact.REFUSED

    def _find_service(self, query: CheckQuery) -> Service | None:
        catalog = self._state.catalog
        return None if catalog is None else catalog.services.get(query.service)

    def _reports_boot(self, query: CheckQuery) -> bool:
        """Return whether a target is an engine whose boot number is known."""
        service = self._find_service(query)
        is_engine = service is not None and service.engine is not None
        return is_engine and get_boot(query.target) != 0

    async def _compare_boot(
        self, connection: Connection, query: CheckQuery, address: Address
    ) -> Contact | None:
        """Compare the boot number that a target reports; return None if it reports none."""
        headers = self._targets.make_health_headers(get_target_id(query.target), address)
        connection.send_raw(b"GET", self._targets.report_path, headers, b"")
        response = await connection.receive_head(ANSWER_TIMEOUT_S)
        if response.status != HTTPStatus.OK:
            return None
        body = await receive_whole_body(connection, ANSWER_TIMEOUT_S, MAX_REPORT_BYTES)
        boot = self._targets.read_boot(body)
        if boot is None:
            return None
        return Contact.SAME if boot == get_boot(query.target) else Contact.OTHER

    async def _compare_id(
        self, connection: Connection, query: CheckQuery, address: Address
    ) -> Contact:
        """Compare the id that a target states in the answer to a health check."""
        service = self._find_service(query)
        path = b"/" if service is None else service.health_path.encode()
        target = get_target_id(query.target)
        headers = self._targets.make_health_headers(target, address)
        connection.send_raw(b"GET", path, headers, b"")
        response = await connection.receive_head(ANSWER_TIMEOUT_S)
        identity = self._targets.read_identity(response)
        return Contact.SAME_ID if identity in (None, target) else Contact.OTHER


def _make_query(target: Target) -> CheckQuery:
    return CheckQuery(target.incarnation, target.service, target.address)


async def _read_nothing() -> None:
    """Read no registrations; raise `StoreError` since none can be read."""
    raise StoreError("there is no store")
