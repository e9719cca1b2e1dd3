"""Planned stop of an instance without interrupting requests in flight.

The instance at once reports that it is not ready and hands over the targets that it owns. It
closes the listening socket after the load balancer has had time to notice, and the process exits
when its last request has ended.
"""

from __future__ import annotations

import enum
import math
from typing import Final

from rhubarbbend.core import actions, events
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core.claims._claim_coordinator import ClaimCoordinator
from rhubarbbend.core.members._members import MembershipCoordinator
from rhubarbbend.core.messages import Message
from rhubarbbend.core.owners._owner import OwnershipCoordinator
from rhubarbbend.core.requests._coordinator import RequestCoordinator
from rhubarbbend.core.stop_schedule import StopSchedule

DRAIN_CHECK_INTERVAL_S: Final = 0.1
# How long, beyond the balancer lag, the exit may be delayed by outcomes of commands that could not
# be written to the table service yet.
OUTCOME_WRITE_TIMEOUT_S: Final = 5.0


class StopPhase(enum.Enum):
    """The phases of a planned stop, in order."""

    SERVING = "serving"
    UNREADY = "unready"  # Reports that it is not ready, but still accepts connections.
    DRAINING = "draining"  # Accepts no connections; requests in flight continue.
    ENDED = "ended"


class ShutdownCoordinator:
    """Carries out a planned stop. Invariant: the phase only advances."""

    def __init__(
        self,
        context: Context,
        requests: RequestCoordinator,
        owner: OwnershipCoordinator,
        claims: ClaimCoordinator,
        members: MembershipCoordinator,
    ) -> None:
        self._context = context
        self._requests = requests
        self._owner = owner
        self._claims = claims
        self._members = members
        self._phase = StopPhase.SERVING
        self._started_at = 0.0

    def get_event_handlers(self) -> dict[type[events.Event], EventHandler]:
        """Return the handler of `StopRequested`."""
        return {events.StopRequested: self._handle_stop}

    def get_message_handlers(self) -> dict[type[Message], EventHandler]:
        """Return no handlers; a planned stop involves no messages of its own."""
        return {}

    def _handle_stop(self, event: events.StopRequested, now: float) -> None:
        if self._phase is not StopPhase.SERVING:
            return
        context = self._context
        self._phase = StopPhase.UNREADY
        self._started_at = now
        # An instance that was never ready is unknown to the balancer, so there is no lag to wait.
        late_from = now + (context.options.balancer_lag if context.config_ready else 0.0)
        stop_limit = context.options.stop_limit or math.inf
        context.stop = StopSchedule(now, late_from, now + stop_limit)
        context.log("stop_begun", open=str(self._requests.count_open_requests()))
        context.emit(actions.SetReady(False))
        context.fleet.instances[context.identity.instance].reported_leaving = True
        context.fleet.refresh_live(now)
        # Peers must learn that this instance is leaving before the handovers arrive, so that they
        # know that they own its targets.
        self._members.broadcast_heartbeat(now)
        self._owner.hand_over_all(now)
        self._requests.renew_slots(now)
        context.set_timer(late_from, self._drain)

    def _drain(self, now: float) -> None:
        self._phase = StopPhase.DRAINING
        self._context.emit(actions.StopAccepting())
        self._exit_if_drained(now)

    def _exit_if_drained(self, now: float) -> None:
        options = self._context.options
        elapsed = now - self._started_at
        if options.stop_limit and elapsed >= options.stop_limit:
            self._exit(now)
            return
        within_write_timeout = elapsed < options.balancer_lag + OUTCOME_WRITE_TIMEOUT_S
        busy = self._requests.count_open_requests() > 0
        if busy or (self._claims.has_pending_writes() and within_write_timeout):
            self._context.set_timer(now + DRAIN_CHECK_INTERVAL_S, self._exit_if_drained)
            return
        self._exit(now)

    def _exit(self, now: float) -> None:
        self._phase = StopPhase.ENDED
        self._context.log("stop_done", seconds=f"{now - self._started_at:.1f}")
        self._context.emit(actions.Exit())
