"""Plans the targets to ask for a request, and reads and makes chat tickets."""

from __future__ import annotations

from rhubarbbend import codes
from rhubarbbend.core._context import Context
from rhubarbbend.core._fleet import TargetView
from rhubarbbend.core.configuration import KIND_ENGINE, Service
from rhubarbbend.core.requests._requests import Request
from rhubarbbend.core.routing import POLICIES, Candidate, Choice, RoutedRequest
from rhubarbbend.core.routing import RoutingPolicy as Policy
from rhubarbbend.core.routing._tickets import Place, Ticket, decode_ticket, encode_ticket


class Planner:
    """Asks a service's routing policy; keeps one policy object for each name."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._policies: dict[str, Policy] = {}

    def plan(self, request: Request, now: float) -> list[Choice]:
        """Plan the targets to ask in order; empty if none fits."""
        candidates = self._list_candidates(request, now)
        if not candidates:
            return []
        described = self._describe(request, now)
        if described.ticket is not None:
            self._count_stale(described.ticket)
        policy = self._find_policy(request.service)
        return policy.plan(described, candidates, self._context.random)

    def make_ticket(self, request: Request, now: float) -> str:
        """Make the ticket that leads the chat's next request back to this target."""
        arrived = request.arrived
        if not arrived.chat or request.service.kind != KIND_ENGINE:
            return ""
        wall = self._context.read_wall(now)
        place = Place(request.target, request.boot_id, wall, arrived.tokens)
        former = self._read_ticket(request)
        others = [] if former is None else [p for p in former.places if p.target != place.target]
        longest = max(others, key=lambda p: p.tokens, default=None)
        places = (place,) if longest is None else (place, longest)
        secret = self._context.identity.secret
        return encode_ticket(secret, request.account.name, arrived.chat, Ticket(places))

    def _list_candidates(self, request: Request, now: float) -> list[Candidate]:
        context = self._context
        own_zone = context.identity.zone
        model = request.arrived.model
        found: list[Candidate] = []
        unreachable: list[Candidate] = []
        for view in context.fleet.list_targets(request.service.name):
            known = view.zone == own_zone and view.updated >= 0
            if view.id in request.excluded or view.down_until > now:
                continue
            if not context.takes_work(view):
                continue
            if known and (not view.ready or not _has_model(view, model)):
                continue
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
                    view.zone == own_zone,
                )
            )
        # Asking an owner behind a partition costs a time-out, so it is left for want of others.
        return found or unreachable

    def _describe(self, request: Request, now: float) -> RoutedRequest:
        arrived = request.arrived
        ticket = self._read_ticket(request)
        return RoutedRequest(
            chat=arrived.chat or request.id,
            tokens=arrived.tokens,
            ticket=ticket,
            time_left=request.time_left(now),
            max_wait=request.service.max_wait,
            prefill_rate=request.service.prefill_rate,
            wall=self._context.read_wall(now),
        )

    def _read_ticket(self, request: Request) -> Ticket | None:
        arrived = request.arrived
        if not arrived.ticket:
            return None
        secret = self._context.identity.secret
        ticket = decode_ticket(secret, request.account.name, arrived.chat, arrived.ticket)
        found: Ticket | None = ticket.value_or(None)
        if found is None:
            self._context.count(codes.TICKETS_BAD)
        return found

    def _count_stale(self, ticket: Ticket) -> None:
        """Count a ticket of which no place can be in memory any more."""
        for place in ticket.places:
            view = self._context.fleet.targets.get(place.target)
            if view is not None and view.boot_id in ("", place.boot_id):
                return
        self._context.count(codes.TICKETS_STALE)

    def _find_policy(self, service: Service) -> Policy:
        policy = self._policies.get(service.policy)
        if policy is None:
            policy = self._policies[service.policy] = POLICIES.find(service.policy)()
        return policy


def _has_model(view: TargetView, model: str) -> bool:
    return not model or not view.models or model in view.models
