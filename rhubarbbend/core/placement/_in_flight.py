"""The in-flight request counts per target that instances send to one another.

A target reports its own load only with its responses: late when it is overloaded, and not at all
when it has just started. Until then an instance does not see what the other instances send to a
target, and together they overload it. So each instance sends its counts to the others whenever they
change.

In a large zone an instance sends its counts only to its reader, the instance from which it receives
the changes of the store. The reader relays the sum of those counts, and sends each instance that
reads from it the sum of all other instances' counts.
"""

from __future__ import annotations

import enum
import math
import zlib
from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from typing import Final

import msgspec

# Counts received longer ago than this are not used: their sender has stopped or is unreachable.
COUNTS_TTL_S: Final = 1.2
# All counts are sent again after this time even if nothing has changed, to make up for lost
# messages.
SNAPSHOT_INTERVAL_S: Final = 0.5
# The lists of instances may differ between instances for seconds, and with them the number of
# requests that one may have at a target. A count above this many times the limit computed here is
# implausible.
MAX_COUNT_FACTOR: Final = 2
# An instance that changes its reader is counted by both for a while. Up to this many times the
# instances known here is plausible.
MAX_INSTANCES_FACTOR: Final = 2
# Sequence numbers of messages wrap around at this value. Of two messages, the later one is ahead by
# less than half of it.
SEQUENCE_MODULUS: Final = 2**32


def compute_target_hash(target: str) -> int:
    """Return the hash that identifies a target in messages; it is shorter than the target's id.

    Among a thousand targets, two have the same hash with a probability of 1 in 9,000; their counts
    are then added up.
    """
    return zlib.crc32(target.encode())


class CountScope(enum.Enum):
    """Whose requests are counted."""

    # Those of the sender and of the instances that it relays for.
    SENDER_GROUP = "part"
    # Those of all instances except the receiver.
    ALL_EXCEPT_RECEIVER = "rest"


class InFlightUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A message with the in-flight requests of `instances` instances, by hash of their target.

    `is_snapshot`: targets that are not named have no requests; otherwise the message holds only
    the counts that changed. `sequence` grows with each message of a sender, from any first value.
    `is_own` is whether only the sender's own requests are counted: it waits at the receiver, which
    relays them.
    """

    sender: str
    scope: CountScope
    instances: int
    is_snapshot: bool
    counts: dict[int, int]
    sequence: int
    is_own: bool = False


def is_plausible(update: InFlightUpdate, instances: int, max_requests: int | None) -> bool:
    """Whether the counts in a message are plausible.

    `instances` is the number of instances of the fleet, `max_requests` the number of requests that
    one instance may have at a target, or None if that is not known yet.
    """
    if not 1 <= update.instances <= MAX_INSTANCES_FACTOR * instances:
        return False
    limit = math.inf if max_requests is None else MAX_COUNT_FACTOR * max_requests * update.instances
    return all(0 <= count <= limit for count in update.counts.values())


def is_later(sequence: int, than: int) -> bool:
    """Whether a message's sequence number comes after another's."""
    return 0 < (sequence - than) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


class _SenderCounts:
    """The latest counts of one sender. Invariant: no count is 0."""

    __slots__ = ("counts", "instances", "is_own", "sequence", "received_at")

    def __init__(self) -> None:
        self.counts: dict[int, int] = {}
        self.instances = 0
        self.is_own = False
        self.sequence = 0
        self.received_at = -math.inf

    def is_fresh(self, now: float) -> bool:
        """Whether the counts are recent enough to be used."""
        return now - self.received_at < COUNTS_TTL_S

    def apply(self, update: InFlightUpdate, now: float) -> None:
        """Apply the snapshot or the changes of a message."""
        if update.is_snapshot:
            self.counts = {}
        for target_hash, count in update.counts.items():
            if count > 0:
                self.counts[target_hash] = count
            else:
                self.counts.pop(target_hash, None)
        self.instances = update.instances
        self.is_own = update.is_own
        self.sequence = update.sequence
        self.received_at = now

    def is_outdated(self, update: InFlightUpdate, now: float) -> bool:
        """Whether a message is not newer than the last one: it was reordered or sent again."""
        return self.is_fresh(now) and not is_later(update.sequence, self.sequence)


class PeerCountTracker:
    """Tracks the in-flight requests of the other instances from their messages.

    Invariant: `_total` and `_instances` are the sums over `_by_sender`, without counts of 0.
    """

    def __init__(self) -> None:
        self._by_sender: dict[str, _SenderCounts] = {}
        self._total: Counter[int] = Counter()
        self._instances = 0
        # The sum for all other instances that this instance's reader sends, and who sent it.
        self._relayed = _SenderCounts()
        self._relayed_by = ""
        # No counts in `_by_sender` expire before this time.
        self._next_expiry = math.inf

    def record_update(self, update: InFlightUpdate, now: float) -> None:
        """Apply a message of another instance; ignore changes from a sender without a snapshot."""
        self._expire_silent_senders(now)
        if update.scope is CountScope.ALL_EXCEPT_RECEIVER:
            self._record_relayed(update, now)
            return
        known = self._by_sender.get(update.sender)
        if known is None:
            if not update.is_snapshot:
                return
            known = self._by_sender[update.sender] = _SenderCounts()
        elif known.is_outdated(update, now):
            return
        self._subtract(known)
        known.apply(update, now)
        self._total.update(known.counts)
        self._instances += known.instances
        self._next_expiry = min(self._next_expiry, now + COUNTS_TTL_S)

    def _record_relayed(self, update: InFlightUpdate, now: float) -> None:
        is_known = update.sender == self._relayed_by
        if self._relayed.is_outdated(update, now) if is_known else not update.is_snapshot:
            return
        self._relayed_by = update.sender
        self._relayed.apply(update, now)

    def count(self, target: str, now: float) -> int:
        """Return the number of requests that the other instances have at a target."""
        target_hash = compute_target_hash(target)
        if self._relayed.is_fresh(now):
            return self._relayed.counts.get(target_hash, 0)
        self._expire_silent_senders(now)
        return self._total.get(target_hash, 0)

    def count_instances(self, now: float) -> int:
        """Return the number of other instances whose requests are known."""
        if self._relayed.is_fresh(now):
            return self._relayed.instances
        self._expire_silent_senders(now)
        return self._instances

    def list_senders(self, now: float) -> list[str]:
        """Return the instances whose counts, or sums, this one gets directly."""
        self._expire_silent_senders(now)
        return list(self._by_sender)

    def list_listeners(self, now: float) -> list[str]:
        """Return the instances that wait at this one, which relays their counts.

        Whether one does is told by itself. If it were judged by this instance's list, two could
        each take the other for a listener and add up each other's sums over and over.
        """
        self._expire_silent_senders(now)
        return [sender for sender, known in self._by_sender.items() if known.is_own]

    def add_up(self, senders: Iterable[str]) -> tuple[Counter[int], int]:
        """Return the sum of some senders' counts, and the number of instances that it covers."""
        total: Counter[int] = Counter()
        instances = 0
        for sender in senders:
            known = self._by_sender[sender]
            total.update(known.counts)
            instances += known.instances
        return total, instances

    def _subtract(self, known: _SenderCounts) -> None:
        self._instances -= known.instances
        for target_hash, count in known.counts.items():
            self._total[target_hash] -= count
            if not self._total[target_hash]:
                del self._total[target_hash]

    def _expire_silent_senders(self, now: float) -> None:
        if now < self._next_expiry:
            return
        for sender in [s for s, known in self._by_sender.items() if not known.is_fresh(now)]:
            self._subtract(self._by_sender.pop(sender))
        oldest = min((known.received_at for known in self._by_sender.values()), default=math.inf)
        self._next_expiry = oldest + COUNTS_TTL_S


class InFlightPublisher:
    """Prepares the messages to each receiver: snapshots, and in between the changes.

    Invariant: changes are relative to what the receiver was sent before. `first_sequence` is the
    sequence number before the first message. A sender that restarts must continue with a later one;
    otherwise its messages are ignored until the counts that it sent before have expired.
    """

    def __init__(self, sender: str, first_sequence: int = 0) -> None:
        self._sender = sender
        self._sequence = first_sequence
        # The counts that each receiver was last sent, and when it was last sent a snapshot.
        self._sent: dict[str, tuple[dict[int, int], float]] = {}

    def prepare_update(
        self,
        receiver: str,
        scope: CountScope,
        counts: Mapping[int, int],
        instances: int,
        now: float,
        is_own: bool = False,
    ) -> InFlightUpdate | None:
        """Return the message to send to a receiver now; None if nothing has changed for it."""
        sent, snapshot_at = self._sent.get(receiver, ({}, -SNAPSHOT_INTERVAL_S))
        if now - snapshot_at >= SNAPSHOT_INTERVAL_S:
            self._sent[receiver] = (dict(counts), now)
            return self._make_update(scope, instances, True, dict(counts), is_own)
        changed = {t: counts.get(t, 0) for t in counts.keys() | sent.keys()}
        changed = {t: n for t, n in changed.items() if n != sent.get(t, 0)}
        if not changed:
            return None
        self._sent[receiver] = (dict(counts), snapshot_at)
        return self._make_update(scope, instances, False, changed, is_own)

    def _make_update(
        self,
        scope: CountScope,
        instances: int,
        is_snapshot: bool,
        counts: dict[int, int],
        is_own: bool,
    ) -> InFlightUpdate:
        self._sequence = (self._sequence + 1) % SEQUENCE_MODULUS
        return InFlightUpdate(
            self._sender, scope, instances, is_snapshot, counts, self._sequence, is_own
        )

    def retain_receivers(self, receivers: Collection[str]) -> None:
        """Drop the state of all receivers except these."""
        self._sent = {r: sent for r, sent in self._sent.items() if r in receivers}
