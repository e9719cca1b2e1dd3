"""Planning of the targets to ask for a slot, and reading and making of chat tickets.

A chat ticket is a signed hint that names the targets which hold a chat's context. The caller sends
it back with the chat's next request.
"""

from __future__ import annotations

import enum

from rhubarbbend import codes
from rhubarbbend.core._context import Context
from rhubarbbend.core._fleet import TargetView
from rhubarbbend.core.configuration import KIND_ENGINE, Service
from rhubarbbend.core.requests._request import Request
from rhubarbbend.core.routing import POLICIES, Candidate, Choice, RoutedRequest
from rhubarbbend.core.routing import RoutingPolicy as Policy
from rhubarbbend.core.routing._tickets import ContextLocation, Ticket, decode_ticket, encode_ticket


class Unfit(enum.Enum):
    """Why a target is no candidate for a request, counted if none is one.

    The values are the names of counters.
    """

    TRIED = codes.UNFIT_TRIED
    HELD_DOWN = codes.UNFIT_HELD_DOWN
    NO_NEW_WORK = codes.UNFIT_NO_NEW_WORK
    PAUSED = codes.UNFIT_PAUSED
    NOT_READY = codes.UNFIT_NOT_READY


class Planner:
    """Plans the targets of requests with the routing policies of their services.

    It keeps one policy object for each policy name.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._policies: dict[str, Policy] = {}

    def plan(self, request: Request, now: float) -> list[Choice]:
        """Return the targets to ask, in order; empty if no target is suitable."""
        candidates = self._list_candidates(request, now)
        if not candidates:
            return []
        routed_request = self._make_routed_request(request, now)
        if routed_request.ticket is not None:
            self._count_stale_ticket(routed_request.ticket)
        policy = self._get_policy(request.service)
        return policy.plan(routed_request, candidates, self._context.random)

    def compute_pause_left(self, request: Request, now: float) -> float | None:
        """Return the seconds until a target may be tried again; None if no pause keeps one away.

        It is 0 if a target has just returned from its pause and is tried by another request.
        """
        left = [
            self._context.pauses.compute_remaining(view.id, now)
            for view in self._context.fleet.list_targets(request.service.name)
            if self._context.accepts_new_work(view)
            and not self._context.pauses.may_send(view.id, now)
        ]
        return min(left, default=None)

    def make_ticket(self, request: Request, now: float) -> str:
        """Return the ticket that routes the chat's next request to this target.

        It is empty for requests that belong to no chat or go to no engine.
        """
        arrived = request.arrival
        if not arrived.chat or request.service.kind != KIND_ENGINE:
            return ""
        wall = self._context.to_unix_time(now)
        place = ContextLocation(request.target, request.boot_id, wall, arrived.tokens)
        previous_ticket = self._read_ticket(request)
        other_places = (
            []
            if previous_ticket is None
            else [p for p in previous_ticket.places if p.target != place.target]
        )
        largest = max(other_places, key=lambda p: p.tokens, default=None)
        places = (place,) if largest is None else (place, largest)
        secret = self._context.identity.secret
        return encode_ticket(secret, request.account.name, arrived.chat, Ticket(places))

    def _list_candidates(self, request: Request, now: float) -> list[Candidate]:
        context = self._context
        found: list[Candidate] = []
        unreachable: list[Candidate] = []
        for view in context.fleet.list_targets(request.service.name):
            if self._find_unfit(request, view, now) is not None:
                continue
            known = self._is_known(view)
            reachable = context.fleet.is_reachable(context.fleet.find_owner(view))
            (found if reachable else unreachable).append(
                Candidate(
                    view.id,
                    view.zone,
                    view.boot_id,
                    view.load,
                    view.limit,
                    known,
                    view.cold,
                    view.zone == context.identity.zone,
                )
            )
        # Asking an owner behind a network partition costs a time-out, so targets of such owners are
        # used only if there are no others.
        return found or unreachable

    def _is_known(self, view: TargetView) -> bool:
        """Return whether the target's owner tells this instance what it has reported."""
        return view.zone == self._context.identity.zone and view.updated >= 0

    def _find_unfit(self, request: Request, view: TargetView, now: float) -> Unfit | None:
        """Return why a target is no candidate for a request; None if it is one."""
        if view.id in request.excluded_targets:
            return Unfit.TRIED
        if view.down_until > now:
            return Unfit.HELD_DOWN
        if not self._context.accepts_new_work(view):
            return Unfit.NO_NEW_WORK
        if not self._context.pauses.may_send(view.id, now):
            return Unfit.PAUSED
        if self._is_known(view) and not (view.ready and _has_model(view, request.arrival.model)):
            return Unfit.NOT_READY
        return None

    def count_unfit(self, request: Request, now: float) -> None:
        """Count why each target of the service is no candidate for a request."""
        for view in self._context.fleet.list_targets(request.service.name):
            reason = self._find_unfit(request, view, now)
            if reason is not None:
                self._context.count(reason.value)

    def _make_routed_request(self, request: Request, now: float) -> RoutedRequest:
        arrived = request.arrival
        ticket = self._read_ticket(request)
        return RoutedRequest(
            chat=arrived.chat or request.id,
            tokens=arrived.tokens,
            ticket=ticket,
            time_left=request.time_left(now),
            max_wait=request.service.max_wait,
            prefill_rate=request.service.prefill_rate,
            wall=self._context.to_unix_time(now),
        )

    def _read_ticket(self, request: Request) -> Ticket | None:
        arrived = request.arrival
        if not arrived.ticket:
            return None
        secret = self._context.identity.secret
        ticket = decode_ticket(secret, request.account.name, arrived.chat, arrived.ticket)
        found: Ticket | None = ticket.value_or(None)
        if found is None:
            self._context.count(codes.TICKETS_BAD)
        return found

    def _count_stale_ticket(self, ticket: Ticket) -> None:
        """Count a ticket whose targets have all left or restarted, so their caches are lost."""
        for place in ticket.places:
            view = self._context.fleet.targets.get(place.target)
            if view is not None and view.boot_id in ("", place.boot_id):
                return
        self._context.count(codes.TICKETS_STALE)

    def _get_policy(self, service: Service) -> Policy:
        policy = self._policies.get(service.policy)
        if policy is None:
            policy = self._policies[service.policy] = POLICIES.find(service.policy)()
        return policy


def _has_model(view: TargetView, model: str) -> bool:
    return not model or not view.models or model in view.models
