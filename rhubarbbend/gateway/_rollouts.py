"""Runs this instance's part in roll-outs: reports evidence to the coordinator, or coordinates.

The coordinator of a roll-out is the first instance that answers in an order that every instance
computes alike. It records the start and the outcome in the store, under the condition that nobody
else has done so, and tells the others.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any, Final

import msgspec

from rhubarbbend import codes
from rhubarbbend.core._rendezvous import rank_names
from rhubarbbend.core.rollouts import (
    DECISION_INTERVAL_S,
    REASON_WITHDRAWN,
    Evidence,
    RolloutCoordinator,
    RolloutOrder,
    RolloutPhase,
    RolloutRecord,
    Ruling,
    TargetCounts,
)
from rhubarbbend.decoding import decode_json, decode_msgpack
from rhubarbbend.gateway._interfaces import StatusEncoder
from rhubarbbend.gateway._peer_updates import PeerUpdate, ServiceRollout
from rhubarbbend.gateway._peers import PeerClient
from rhubarbbend.gateway._state import ROLLOUT_TABLE, State, read_clock
from rhubarbbend.storage import RowPut, RowStore, RowVersion, StoreError, VersionConflict

# How often the others report to the coordinator; more often while requests move.
REPORT_INTERVAL_S: Final = 0.5
SHIFT_REPORT_INTERVAL_S: Final = 0.25
# A coordinator handles about this many reports a second; in a larger fleet each instance reports
# less often.
MAX_REPORTS_PER_S: Final = 300.0
# An instance that did not answer as coordinator is passed over for this time.
SILENCE_BACKOFF_S: Final = 3.0
# An instance coordinates for as long as others report to it, and this much longer.
COORDINATION_TTL_S: Final = 3.0


class RolloutReport(msgspec.Struct, array_like=True):
    """An instance's evidence of a roll-out, sent to its coordinator.

    `sender` names the instance and its process, `revision` the order. `age_s` is for how long the
    sender knows the order to be in force. `evidence` is cumulative; `sequence` grows with it.
    `was_told_to_stop` is whether a coordinator has ruled that the version is rolled back.
    """

    sender: str
    service: str
    revision: int
    age_s: float
    sequence: int
    evidence: Evidence
    was_told_to_stop: bool = False


class RolloutReply(msgspec.Struct, array_like=True):
    """The coordinator's ruling, None if it has none yet, and the record if the roll-out ended."""

    ruling: Ruling | None = None
    record: RolloutRecord | None = None


class RolloutRunner:
    """Takes part in all roll-outs that are ordered.

    Invariant: an outcome is announced only after the store has acknowledged its record.
    """

    def __init__(
        self, state: State, store: RowStore, statuses: StatusEncoder, peers: PeerClient
    ) -> None:
        self._state = state
        self._store = store
        self._statuses = statuses
        self._peers = peers
        self._name = state.settings.instance
        # Identifies this process among those of its instance.
        self._sender = f"{self._name}/{time.time_ns():x}"
        self._coordinators: dict[int, RolloutCoordinator] = {}
        # Orders whose start is recorded, and the last ruling on each.
        self._opened: set[int] = set()
        self._rulings: dict[int, Ruling] = {}
        self._reported_to_at: dict[int, float] = {}
        self._silent_until: dict[str, float] = {}
        self._reported_at: dict[int, float] = {}

    async def run(self) -> None:
        """Take part in roll-outs, until cancelled."""
        while True:
            await self._state.has_rollout_work.wait()
            orders = self._state.rollouts.versions.list_active_orders()
            abandoned = self._list_abandoned()
            self._forget_ended({order.revision for order in orders})
            if not orders and not abandoned:
                self._state.has_rollout_work.clear()
                continue
            if self._state.has_config_and_targets:
                await asyncio.gather(
                    *(self._take_part(order) for order in orders),
                    *(self._end_abandoned(service) for service in abandoned),
                )
            await asyncio.sleep(self._compute_pause())

    def _compute_pause(self) -> float:
        now = read_clock()
        pauses = [coordinator.compute_pause(now) for coordinator in self._coordinators.values()]
        return min(pauses, default=DECISION_INTERVAL_S)

    def handle_report(self, data: bytes) -> bytes:
        """Handle the report of another instance, which takes this one for the coordinator.

        Raise `msgspec.MsgspecError` if it cannot be decoded.
        """
        report = decode_msgpack(data, type=RolloutReport)
        return msgspec.msgpack.encode(self._reply_to(report))

    def _reply_to(self, report: RolloutReport) -> RolloutReply:
        now = read_clock()
        record = self._state.rollouts.versions.find_record(report.service)
        if record is not None and record.revision >= report.revision and record.phase.is_final:
            return RolloutReply(record=record)
        order = self._state.rollouts.versions.find_active_order(report.service)
        if order is None or order.revision != report.revision:
            return RolloutReply()
        self._reported_to_at[order.revision] = now
        coordinator = self._find_coordinator(order, now)
        coordinator.record_age(report.age_s, now)
        coordinator.record_evidence(report.sender, report.sequence, report.evidence, now)
        if report.was_told_to_stop:
            coordinator.record_former_stop()
        ruling = self._rulings.get(order.revision)
        if ruling is not None:
            ruling = msgspec.structs.replace(ruling, age_s=now - coordinator.ordered_at)
        return RolloutReply(ruling)

    # Taking part.

    async def _take_part(self, order: RolloutOrder) -> None:
        now = read_clock()
        leader = self._find_leader(f"{order.service}/{order.revision}", now)
        is_asked = now - self._reported_to_at.get(order.revision, 0.0) < COORDINATION_TTL_S
        if leader == self._name or (is_asked and order.revision in self._reported_to_at):
            await self._coordinate(order)
        if leader != self._name:
            await self._report(order, leader)

    def _find_leader(self, key: str, now: float) -> str:
        """Return the first instance in the order for a key that is not known to be silent."""
        names = set(self._state.instances) | {self._name}
        ranked = rank_names(key, sorted(names))
        reachable = [n for n in ranked if now >= self._silent_until.get(n, now)]
        return next(iter(reachable), self._name)

    async def _report(self, order: RolloutOrder, leader: str) -> None:
        now = read_clock()
        participant = self._state.rollouts.find_participant(order.service)
        row = self._state.instances.get(leader)
        if participant is None or row is None:
            return
        interval = self._compute_report_interval(participant.ruling)
        if now - self._reported_at.get(order.revision, now - interval) < interval:
            return
        self._reported_at[order.revision] = now
        report = RolloutReport(
            self._sender,
            order.service,
            order.revision,
            participant.compute_age(now),
            participant.sequence,
            participant.evidence,
            participant.was_told_to_stop,
        )
        data = msgspec.msgpack.encode(report)
        body = await self._peers.report_rollout((row.host, row.port), data)
        now = read_clock()
        if body is None:
            # The next instance in the order coordinates from now on.
            self._silent_until[leader] = now + SILENCE_BACKOFF_S
            self._reported_at.pop(order.revision, None)
            return
        if not body:
            # It does not know of the order yet.
            return
        try:
            reply = decode_msgpack(body, type=RolloutReply)
        except msgspec.MsgspecError as error:
            self._log("peer_unreadable", reason=str(error))
            return
        if reply.record is not None:
            self._state.rollouts.record_outcome(order.service, reply.record)
        elif reply.ruling is not None:
            participant.record_ruling(reply.ruling, now)

    def _compute_report_interval(self, ruling: Ruling | None) -> float:
        is_shifting = ruling is not None and ruling.phase is RolloutPhase.SHIFTING
        wanted = SHIFT_REPORT_INTERVAL_S if is_shifting else REPORT_INTERVAL_S
        return max(wanted, len(self._state.instances) / MAX_REPORTS_PER_S)

    # Coordinating.

    def _find_coordinator(self, order: RolloutOrder, now: float) -> RolloutCoordinator:
        coordinator = self._coordinators.get(order.revision)
        if coordinator is None:
            options = self._state.exposure_options
            coordinator = RolloutCoordinator(order, options, now)
            self._coordinators[order.revision] = coordinator
        return coordinator

    async def _coordinate(self, order: RolloutOrder) -> None:
        now = read_clock()
        coordinator = self._find_coordinator(order, now)
        participant = self._state.rollouts.find_participant(order.service)
        if participant is None:
            return
        if participant.was_told_to_stop:
            coordinator.record_former_stop()
        coordinator.record_age(participant.compute_age(now), now)
        coordinator.record_evidence(self._sender, participant.sequence, participant.evidence, now)
        try:
            if order.revision not in self._opened and not await self._open(order, coordinator):
                return
            now = read_clock()
            instances = len(self._state.list_instance_ids())
            ruling = coordinator.decide(self._count_targets(order), instances, now)
            self._publish(order, ruling, coordinator, now)
            if ruling.phase.is_final:
                await self._end(order.service, order.revision, ruling.phase, ruling.reason)
        except VersionConflict:
            # Another instance has written; what it wrote is read at the next decision.
            self._opened.discard(order.revision)
        except StoreError as error:
            self._state.metrics.increment_counter(codes.PLATFORM_ERRORS)
            self._log("rollout_write_failed", service=order.service, reason=str(error))

    def _count_targets(self, order: RolloutOrder) -> TargetCounts:
        now = read_clock()
        registry, rollouts = self._state.registry, self._state.rollouts
        stable = rollouts.find_versions(
            order.service, registry.count_versions(order.service)
        ).stable
        available = registry.list_available(order.service, now)
        return TargetCounts(
            sum(target.version == stable for target in available),
            sum(target.version == order.to_version for target in available),
        )

    def _publish(
        self, order: RolloutOrder, ruling: Ruling, coordinator: RolloutCoordinator, now: float
    ) -> None:
        """Make a ruling known to this instance and to those that report to it."""
        if ruling.phase is RolloutPhase.SUCCEEDED:
            # Until that is recorded, the others only go on moving their requests.
            ruling = msgspec.structs.replace(ruling, phase=RolloutPhase.SHIFTING)
        before = self._rulings.get(order.revision)
        self._rulings[order.revision] = ruling
        participant = self._state.rollouts.find_participant(order.service)
        if participant is not None:
            participant.record_ruling(ruling, now)
        if before is None or before.phase is not ruling.phase:
            evidence = coordinator.add_up_evidence()
            finding = coordinator.finding
            self._log(
                "rollout_ruling",
                service=order.service,
                to=order.to_version,
                phase=ruling.phase.value,
                age=round(ruling.age_s, 3),
                requests=sum(route.requests for route in evidence.routes.values()),
                exposed=evidence.exposed,
                leads=ruling.leads or None,
                reason=ruling.reason or None,
                log_ratio=None if finding is None else finding.log_ratio,
            )

    # Records in the store.

    async def _open(self, order: RolloutOrder, coordinator: RolloutCoordinator) -> bool:
        """Record that a roll-out runs, unless that is recorded; return whether it does run.

        Raise `StoreError` if the store cannot be reached.
        """
        row = await self._store.read_row(ROLLOUT_TABLE, order.service)
        now = read_clock()
        known = _decode_record(row.value)
        if known is not None and known.revision >= order.revision:
            self._state.rollouts.record_outcome(order.service, known)
            if known.phase.is_final or known.revision > order.revision:
                return False
            coordinator.record_age(row.store_time_s - known.started_at_s, now)
        else:
            registered = self._state.registry.count_versions(order.service)
            versions = self._state.rollouts.find_versions(order.service, registered)
            started_at_s = row.store_time_s - (now - coordinator.ordered_at)
            stable = versions.stable or order.to_version
            is_done = stable == order.to_version
            phase = RolloutPhase.SUCCEEDED if is_done else RolloutPhase.RUNNING
            record = RolloutRecord(order.revision, stable, order.to_version, phase, started_at_s)
            await self._write(order.service, record, row.version)
            if is_done:
                return False
        self._opened.add(order.revision)
        return True

    async def _end(self, service: str, revision: int, phase: RolloutPhase, reason: str) -> None:
        """Record the outcome of a roll-out. An outcome that is recorded already stays."""
        row = await self._store.read_row(ROLLOUT_TABLE, service)
        known = _decode_record(row.value)
        if known is None:
            self._opened.discard(revision)
            return
        if known.revision != revision or known.phase.is_final:
            self._state.rollouts.record_outcome(service, known)
            return
        record = msgspec.structs.replace(known, phase=phase, reason=reason)
        await self._write(service, record, row.version)

    async def _write(self, service: str, record: RolloutRecord, version: int) -> None:
        """Write a record if its row still has `version`, then tell all instances of it."""
        puts = [
            RowPut(ROLLOUT_TABLE, service, msgspec.json.encode(record)),
            self._statuses.encode_rollout(service, record),
        ]
        await self._store.write_rows(puts, [RowVersion(ROLLOUT_TABLE, service, version)])
        self._state.rollouts.record_outcome(service, record)
        self._log(
            "rollout_written",
            service=service,
            revision=record.revision,
            before=record.from_version,
            to=record.to_version,
            phase=record.phase.value,
            reason=record.reason or None,
        )
        if record.phase.is_final:
            self._state.metrics.increment_counter(codes.ROLLOUTS_ENDED)
        await self._peers.broadcast(PeerUpdate(rollouts=[ServiceRollout(service, record)]))

    # Orders that are gone.

    def _list_abandoned(self) -> list[str]:
        """Return the services with a record of a running roll-out whose order was withdrawn.

        The copy of the orders must not be older than the record; otherwise the order may only be
        on its way to this instance.
        """
        versions = self._state.rollouts.versions
        position = self._state.mirror.tables[self._state.config_table].position
        records = (
            (service, versions.find_record(service)) for service in versions.list_abandoned()
        )
        return [s for s, record in records if record is not None and record.revision <= position]

    async def _end_abandoned(self, service: str) -> None:
        record = self._state.rollouts.versions.find_record(service)
        if record is None:
            return
        if self._find_leader(f"{service}/{record.revision}", read_clock()) != self._name:
            return
        try:
            await self._end(service, record.revision, RolloutPhase.ROLLED_BACK, REASON_WITHDRAWN)
        except StoreError as error:
            self._log("rollout_write_failed", service=service, reason=str(error))

    def _forget_ended(self, running: set[int]) -> None:
        for revision in [r for r in self._coordinators if r not in running]:
            del self._coordinators[revision]
            self._rulings.pop(revision, None)
            self._reported_to_at.pop(revision, None)
            self._opened.discard(revision)
        for revision in [r for r in self._reported_at if r not in running]:
            del self._reported_at[revision]

    def _log(self, event: str, **fields: Any) -> None:
        self._state.event_log.write(event, read_clock(), **fields)


def _decode_record(value: bytes | None) -> RolloutRecord | None:
    """Return the record in a row; None if there is none or it cannot be read."""
    if value is None:
        return None
    try:
        return decode_json(value, type=RolloutRecord)
    except msgspec.MsgspecError:
        return None
