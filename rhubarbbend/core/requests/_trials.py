"""Trials: attempts of requests that may crash targets, one at a time in the fleet for each cause.

Requests that have crashed targets together, and those whose refusal is over, are sent by one
instance at a time. The coordinator of a cause, the same instance for all, grants the trial.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from rhubarbbend import codes
from rhubarbbend.core._context import Context, EventHandler
from rhubarbbend.core._suspects import CrashSuspectTracker
from rhubarbbend.core.crashes import TrialTable, list_coordinators
from rhubarbbend.core.messages import Message, TrialEnd, TrialReply, TrialRequest
from rhubarbbend.core.requests._request import Request
from rhubarbbend.core.requests._request_table import RequestTable

# An instance replies within some ms; if it does not within this time, the next one is asked.
REPLY_TIMEOUT_S: Final = 0.4
RETRY_INTERVAL_S: Final = 0.1
# After this time a request is refused: it is not known whether it crashes targets.
MAX_WAIT_S: Final = 1.5

RequestCallback = Callable[[Request, float], None]


class TrialCoordinator:
    """The trials that this instance asks for, holds and grants.

    Invariant: it holds at most one trial of a cause.
    """

    def __init__(
        self, context: Context, table: RequestTable, suspects: CrashSuspectTracker
    ) -> None:
        self._context = context
        self._suspects = suspects
        self._granted = TrialTable()
        # Requests for which the trial of a cause was asked for or granted, by cause.
        self._held: dict[str, Request] = {}
        # The instance that was asked for the trial of each of these causes last.
        self._coordinators: dict[str, str] = {}
        # Start the search for a slot now or at a time, if the request still waits then, or refuse
        # the request; set by the components that do so.
        self.start_search: RequestCallback = lambda request, now: None
        self.schedule_search: RequestCallback = lambda request, at: None
        self.refuse: RequestCallback = lambda request, now: None
        table.on_removed = self.end

    def get_message_handlers(self) -> dict[type[Message], EventHandler]:
        """Return the handlers of questions for trials, of replies, and of ended trials."""
        return {
            TrialRequest: self._handle_request,
            TrialReply: self._handle_reply,
            TrialEnd: self._handle_end,
        }

    def begin(self, request: Request, now: float) -> bool:
        """Return whether a request may be sent now; if not, it is asked for, and started later."""
        if request.has_trial:
            return True
        cause = self._suspects.find_trial_cause(request.content, now)
        if cause is None:
            return True
        if request.trial_asked_at is None:
            request.trial_asked_at = now
        if self._held.get(cause) is request:
            return False
        if cause in self._held:
            self._retry_later(request, RETRY_INTERVAL_S, now)
            return False
        self._held[cause] = request
        request.trial = cause
        self._ask(request, self._list_coordinators(cause), now)
        return request.has_trial

    def end(self, request: Request) -> None:
        """End the trial of a request whose attempt has ended, or that was refused."""
        cause = request.trial
        if self._held.get(cause) is not request:
            return
        del self._held[cause]
        coordinator = self._coordinators.pop(cause, None)
        if coordinator is not None and request.has_trial:
            was_lost = self._suspects.get_last_loss(cause) >= request.trial_began_at
            self._context.send(coordinator, TrialEnd(cause=cause, was_lost=was_lost))
        request.trial = ""
        request.has_trial = False

    def _list_coordinators(self, cause: str) -> list[str]:
        own = self._context.identity.instance
        return list_coordinators(cause, {own, *self._context.fleet.instances})

    def _ask(self, request: Request, coordinators: list[str], now: float) -> None:
        """Ask the first of some instances, and the others if it does not reply."""
        cause = request.trial
        if not coordinators:
            # No coordinator is reached: this instance may be partitioned from all others.
            self._coordinators.pop(cause, None)
            self._grant(request, now)
            return
        coordinator, *others = coordinators
        self._coordinators[cause] = coordinator

        def ask_next(at: float) -> None:
            is_asked = self._held.get(cause) is request and not request.has_trial
            if is_asked and self._coordinators.get(cause) == coordinator:
                self._ask(request, others, at)
                if request.has_trial:
                    self.start_search(request, at)

        self._context.set_timer(now + REPLY_TIMEOUT_S, ask_next)
        self._context.send(coordinator, TrialRequest(cause=cause))

    def _grant(self, request: Request, now: float) -> None:
        request.has_trial = True
        request.trial_began_at = now

    def _retry_later(self, request: Request, delay_s: float, now: float) -> None:
        asked_at = now if request.trial_asked_at is None else request.trial_asked_at
        if now - asked_at >= MAX_WAIT_S:
            self._context.count(codes.TRIALS_DENIED)
            self.refuse(request, now)
            return
        self.schedule_search(request, now + delay_s)

    def _handle_request(self, sender: str, message: TrialRequest, now: float) -> None:
        wait = self._granted.request(message.cause, sender, now)
        self._context.send(sender, TrialReply(cause=message.cause, wait=wait))

    def _handle_end(self, sender: str, message: TrialEnd, now: float) -> None:
        self._granted.record_end(message.cause, sender, message.was_lost, now)

    def _handle_reply(self, sender: str, message: TrialReply, now: float) -> None:
        cause = message.cause
        request = self._held.get(cause)
        if request is None or request.has_trial or self._coordinators.get(cause) != sender:
            if message.wait <= 0.0 and request is None:
                # It came too late; the request has ended.
                self._context.send(sender, TrialEnd(cause=cause))
            return
        if message.wait <= 0.0:
            self._grant(request, now)
            self.start_search(request, now)
            return
        self.end(request)
        self._retry_later(request, min(message.wait, RETRY_INTERVAL_S), now)
