"""The books of one owned target: its slots, its queue, and what its reports show beyond them."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

import attrs

from rhubarbbend.core.configuration import Service
from rhubarbbend.core.messages import HeldSlot, SlotRelease
from rhubarbbend.core.owners._queue import FairQueue
from rhubarbbend.core.owners._ramp import ColdRamp, Probation

# First bytes this many times slower than usual, in a row, say that a target has turned cold.
SLOW_FACTOR: Final = 4.0
SLOW_MARGIN: Final = 0.25
SLOW_IN_A_ROW: Final = 3
# So many attempts failed at the target, with none that ended well between, say the same.
FAILED_IN_A_ROW: Final = 2
AVERAGE_WEIGHT: Final = 0.1
MAX_SAMPLES: Final = 512


@attrs.define(slots=True)
class Slot:
    """A granted slot; `renewed` is when its holder last confirmed it."""

    attempt: str
    holder: str
    incarnation: int
    account: str
    since: float
    renewed: float
    suspect: bool


class ColdWatch:
    """Notices a target that has turned cold under the same boot id.

    Such a target still takes work, slowly, and falls over under a full load. Its first bytes are
    compared with its own usual ones, less the time that reading the prompt may take, so that a
    few long prompts do not look like a cold target.
    """

    def __init__(self) -> None:
        self._usual = -1.0
        self._slow = 0
        self._failed = 0

    def take_first_byte(self, first_byte: float, prefill: float) -> bool:
        """Judge the first byte of an attempt that ended well; True if the target is cold."""
        self._failed = 0
        beyond = max(0.0, first_byte - prefill)
        if self._usual < 0:
            self._usual = beyond
        if first_byte > SLOW_FACTOR * (self._usual + prefill) + SLOW_MARGIN:
            self._slow += 1
            return self._slow >= SLOW_IN_A_ROW
        self._slow = 0
        self._usual += AVERAGE_WEIGHT * (beyond - self._usual)
        return False

    def take_failure(self) -> bool:
        """Count an attempt that failed at the target; True if the target is taken as cold."""
        self._failed += 1
        return self._failed >= FAILED_IN_A_ROW


class Books:
    """What an owner knows of one target.

    Invariants: `slots` holds every grant not yet given back; `unsettled` holds what was given
    back, or lost with its holder, and which the target may still run, until a report made later
    tells; the load is the sum of both and of what reports show beyond them.
    """

    def __init__(self, target: str, service: Service, now: float) -> None:
        self.target = target
        self.taken_at = now
        self.slots: dict[str, Slot] = {}
        self.unsettled: dict[str, float] = {}
        self.queue = FairQueue(service.max_queue)
        self.ramp = ColdRamp(service.cold_slots, service.cold_requests, now)
        self.probation = Probation(service.cold_slots)
        self.watch = ColdWatch()
        self.boot_id = ""
        self.ready = False
        self.out_of_service = False
        self.report_at = -1.0
        self.foreign = 0
        self.own_limit = 0
        self.duration = 0.0
        self._made_at = -1.0
        self._samples: deque[tuple[float, int]] = deque(maxlen=MAX_SAMPLES)

    def count_load(self) -> int:
        """Load in requests: own slots, those in doubt, and what reports show beyond them."""
        return len(self.slots) + len(self.unsettled) + self.foreign

    def has_suspect(self) -> bool:
        """Whether a request that was at a crash runs on the target."""
        return any(slot.suspect for slot in self.slots.values())

    def compute_limit(self, service: Service, load: int, count: int) -> int:
        """Give the most load the target may have.

        `load` and `count` are those of the service's ready targets, this one included. The mean
        counts the request that asks, so that a fleet at its bound can still grow.
        """
        mean = (load + 1) / max(1, count)
        limit = max(service.floor, math.ceil(service.bound * mean))
        if self.own_limit:
            limit = min(limit, self.own_limit)
        if self.ramp.cold:
            limit = min(limit, self.ramp.allowed)
        return limit

    def add(self, slot: Slot, now: float) -> None:
        """Enter a grant."""
        self.slots[slot.attempt] = slot
        self.probation.note_grant(slot.attempt, now)
        self.note_slots(now)

    def register(self, held: HeldSlot, holder: str, incarnation: int, now: float) -> bool:
        """Enter a slot that another owner granted, or renew it; True if it was not known."""
        slot = self.slots.get(held.attempt)
        if slot is not None:
            slot.renewed = now
            return False
        if self.unsettled.pop(held.attempt, None) is None:
            # What a report showed as load of others is now counted by name.
            self.foreign = max(0, self.foreign - 1)
        self.slots[held.attempt] = Slot(
            held.attempt, holder, incarnation, held.account, now, now, held.suspect
        )
        self.note_slots(now)
        return True

    def release(self, message: SlotRelease, now: float) -> Slot | None:
        """Take a slot back.

        An attempt that did not run to its end may go on at the target for a while: its connection
        was cut, or its caller left. It stays part of the load until a report tells.
        """
        slot = self.slots.pop(message.attempt, None)
        if message.completed:
            self.unsettled.pop(message.attempt, None)
        elif slot is not None and message.sent:
            self.unsettled[message.attempt] = now
        self.probation.note_end(message.attempt)
        if slot is not None:
            if message.completed:
                self._note_duration(now - slot.since)
            self.note_slots(now)
        return slot

    def doubt(self, slot: Slot, now: float) -> None:
        """Take back a slot whose holder is gone or does not know of it any more."""
        del self.slots[slot.attempt]
        self.probation.note_end(slot.attempt)
        self.unsettled[slot.attempt] = now
        self.note_slots(now)

    def note_slots(self, now: float) -> None:
        """Remember how many slots were out, to compare a late report with its own time."""
        self._samples.append((now, len(self.slots)))

    def take_report(self, running: int, age: float, now: float) -> None:
        """Work out what runs on the target that is not counted here.

        A report lags. Compared with the slots of the present, it would show load of others after
        each burst of releases and hide it after each burst of grants; it is compared with the
        slots that were out at its own time. A request ends at the target before its slot comes
        back, so what runs of the own slots is never more than those.
        """
        made_at = now - age
        if made_at < self._made_at:
            return
        self._made_at = made_at
        self.report_at = now
        for attempt, since in list(self.unsettled.items()):
            # One given back later than this was still a slot at the report's time.
            if since < made_at:
                del self.unsettled[attempt]
        self.foreign = max(0, running - self._count_slots(made_at))
        if made_at >= self.taken_at:
            self.probation.take_report(made_at, self.foreign)

    def estimate_first_end(self, now: float) -> float:
        """Give the seconds until the request that has run longest has run as long as is usual."""
        longest = max((now - slot.since for slot in self.slots.values()), default=0.0)
        return max(0.0, self.duration - longest)

    def _count_slots(self, at: float) -> int:
        """Give how many slots were out at a time."""
        count = 0
        for noted, slots in self._samples:
            if noted > at:
                break
            count = slots
        return count

    def _note_duration(self, seconds: float) -> None:
        if not self.duration:
            self.duration = seconds
        self.duration += AVERAGE_WEIGHT * (seconds - self.duration)
