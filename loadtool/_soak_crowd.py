"""The load balancer of a soak run that hands most new connections to one instance, moving on."""

from __future__ import annotations

import random
import time
from collections.abc import Sequence
from typing import Final

import attrs

from loadtool._soak_checks import RunRecord

# How long most connections go to one instance, with as long a pause before the next.
CROWDED_S: Final = 6.0
CROWDED_SHARE: Final = 0.85
# How often a caller opens a new connection although it could keep the one that it has.
NEW_CONNECTION_SHARE: Final = 0.5
# From the users' rule: from this time on, first attempts are served so often as before.
CONTACT_S: Final = 3.0
MIN_SHARE_OF_BEFORE: Final = 0.75
MIN_REQUESTS: Final = 40


@attrs.define(slots=True)
class SoakCrowd:
    """Chooses the instance of each new connection."""

    started_at: float
    names: Sequence[str]
    _random: random.Random

    def find_crowded(self, at: float) -> str:
        """Return the instance that gets most new connections at a Unix time, "" if none does."""
        number, left_s = divmod(at - self.started_at, 2 * CROWDED_S)
        return self.names[int(number) % len(self.names)] if left_s >= CROWDED_S else ""

    def choose(self, ready: Sequence[str]) -> str:
        """Return the instance of a new connection, one of those that are ready."""
        crowded = self.find_crowded(time.time())
        is_most = self._random.random() < CROWDED_SHARE
        return crowded if crowded in ready and is_most else self._random.choice(ready)

    def wants_new_connection(self) -> bool:
        """Return whether a caller gives up a connection that it could use."""
        return self._random.random() < NEW_CONNECTION_SHARE

    def find_violations(self, record: RunRecord) -> list[str]:
        """Return a line if requests were served far less often while an instance was crowded."""
        served: dict[bool, list[bool]] = {False: [], True: []}
        for outcome in record.outcomes:
            at = outcome.sent_at
            since = (at - self.started_at) % CROWDED_S
            if not record.is_undisturbed(outcome.instance, at) or since < CONTACT_S:
                continue
            is_served = outcome.status == 200 and outcome.complete
            served[bool(self.find_crowded(at))].append(is_served)
        before, crowded = served[False], served[True]
        if min(len(before), len(crowded)) < MIN_REQUESTS:
            return []
        usual, now = sum(before) / len(before), sum(crowded) / len(crowded)
        if now >= MIN_SHARE_OF_BEFORE * usual:
            return []
        return [f"crowd: {now:.2f} of first attempts served, {usual:.2f} otherwise"]
