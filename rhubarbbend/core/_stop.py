"""The stop duty: a planned stop that cuts no request in flight.

Readiness goes off and owned targets are handed over at once; the listening socket closes only
after the balancer has had time to notice; the process ends when its last request has.
"""

from __future__ import annotations

import enum
from typing import Final

from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.claims._claims import ClaimDuty
from rhubarbbend.core.members._members import MemberDuty
from rhubarbbend.core.messages import Message
from rhubarbbend.core.owners._owner import OwnerDuty
from rhubarbbend.core.requests._entry import EntryDuty

CHECK_INTERVAL: Final = 0.1
# How long outcomes that the table does not take may hold up the end of the process.
OUTCOME_PATIENCE: Final = 5.0


class StopPhase(enum.Enum):
    """How far a planned stop has come."""

    SERVING = "serving"
    UNREADY = "unready"  # Not ready any more, still accepting.
    DRAINING = "draining"  # Not accepting; requests in flight go on.
    ENDED = "ended"


class StopDuty:
    """Carries out a planned stop. Invariant: phases follow one another and never go back."""

    def __init__(
        self,
        context: Context,
        entry: EntryDuty,
        owner: OwnerDuty,
        claims: ClaimDuty,
        members: MemberDuty,
    ) -> None:
        self._context = context
        self._entry = entry
        self._owner = owner
        self._claims = claims
        self._members = members
        self._phase = StopPhase.SERVING
        self._since = 0.0

    def list_events(self) -> dict[type[events.Event], EventHandler]:
        """Handle the order to stop."""
        return {events.StopRequested: self._handle_stop}

    def list_messages(self) -> dict[type[Message], EventHandler]:
        """Handle no messages."""
        return {}

    def _handle_stop(self, event: events.StopRequested, now: float) -> None:
        if self._phase is not StopPhase.SERVING:
            return
        context = self._context
        self._phase = StopPhase.UNREADY
        self._since = now
        context.stopping = True
        context.log("stop_begun", open=str(self._entry.count_open()))
        context.emit(actions.SetReady(False))
        context.fleet.instances[context.identity.instance].said_leaving = True
        context.fleet.refresh_live(now)
        # Peers learn first that this instance leaves, then that they own its targets.
        self._members.announce(now)
        self._owner.hand_over_all(now)
        self._entry.register_slots(now)
        # An instance that never was ready is not known to the balancer.
        lag = context.options.balancer_lag if context.config_ready else 0.0
        context.set_timer(now + lag, self._drain)

    def _drain(self, now: float) -> None:
        self._phase = StopPhase.DRAINING
        self._context.emit(actions.StopAccepting())
        self._check_done(now)

    def _check_done(self, now: float) -> None:
        options = self._context.options
        waited = now - self._since
        if options.stop_limit and waited >= options.stop_limit:
            self._end(now)
            return
        patient = waited < options.balancer_lag + OUTCOME_PATIENCE
        busy = self._entry.count_open() > 0
        if busy or (self._claims.has_pending_writes() and patient):
            self._context.set_timer(now + CHECK_INTERVAL, self._check_done)
            return
        self._end(now)

    def _end(self, now: float) -> None:
        self._phase = StopPhase.ENDED
        self._context.log("stop_done", seconds=f"{now - self._since:.1f}")
        self._context.emit(actions.Exit())
