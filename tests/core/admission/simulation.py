"""Simulates instances that admit requests to targets with slots, in virtual time.

Counts of other instances are as old as the simulation says. Targets start the more urgent of their
waiting requests first, and reject requests beyond their queue. Callers retry once.
"""

from __future__ import annotations

import heapq
from collections import Counter, deque
from collections.abc import Callable
from random import Random

import attrs

from rhubarbbend.core.admission import AdmissionRequest, Outcome, ServiceAdmission, Waiter
from rhubarbbend.core.admission._room import RoomView, compute_view

SLOTS = 12
QUEUE_LIMIT = 36
STEP_S = 0.01


@attrs.define(frozen=True)
class SimulatedRoute:
    """A route: requests a second, objective and deadline, and how long a request holds a slot.

    `prefill` is the time from the start of a request to its first event. `worth` is the value of a
    request in time, and of a late one.
    """

    name: str
    priority: int
    rate: float
    objective: float
    deadline: float
    hold: float
    prefill: float
    worth: tuple[float, float]


ROUTES = (
    SimulatedRoute("pipe-walk", 2, 54.0, 1.545, 12.363, 4.0, 0.4, (1.6, 1.2)),
    SimulatedRoute("drop-brief", 0, 98.0, 0.419, 10.464, 2.5, 0.1, (3.7, 0.75)),
    SimulatedRoute("trace-tag", 1, 103.0, 0.422, 2.64, 0.5, 0.1, (0.27, 0.14)),
)


@attrs.define(eq=False)
class SimulatedRequest:
    """One request of a caller. `tries` counts how often it was sent to an instance."""

    route: SimulatedRoute
    account: str
    instance: int
    arrived_at: float
    tokens: int
    tries: int = 0
    seen_at: float = 0.0
    admitted_at: float | None = None
    started_at: float | None = None
    target: int = -1
    result: str = ""

    @property
    def is_in_time(self) -> bool:
        return self.result == "in time"


@attrs.define
class Options:
    """What a simulation varies; `admits` is False to send everything to targets."""

    instances: int = 67
    targets: int = 70
    seed: int = 1
    overload: float = 2.5
    burst: tuple[float, float] = (4.0, 10.0)
    targets_in_burst: int = 47
    duration: float = 12.0
    count_age: float = 0.2
    admits: bool = True
    immediate_retries: float = 0.5
    max_tries: int = 2
    accounts: int = 12
    # Accounts whose callers retry at once, up to six times.
    storming: set[str] = attrs.Factory(set)
    # Returns the instance of a request.
    choose_instance: Callable[[Random, int], int] = lambda random, count: random.randrange(count)
    # Of each account the factor of its arrivals during the burst.
    account_factors: dict[str, float] = attrs.Factory(dict)
    # Called with the view of an instance; may change it, as faults do.
    distort: Callable[[RoomView, int, float], RoomView] = lambda view, instance, now: view


class Simulation:
    """Runs one day. Invariant: a refused request is not sent to a target before its next try."""

    def __init__(self, options: Options) -> None:
        self.options = options
        self.random = Random(options.seed)
        self.admissions = [ServiceAdmission(self.random) for _ in range(options.instances)]
        # Requests at the targets that stay usable, and at those that are away in the burst.
        self.own = [0] * options.instances
        self.own_away = [0] * options.instances
        self.history: deque[tuple[float, list[int]]] = deque()
        self.running = [0] * options.targets
        self.waiting: list[list[tuple[int, int, SimulatedRequest]]] = [
            [] for _ in range(options.targets)
        ]
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.number = 0
        self.now = 0.0
        self.requests: list[SimulatedRequest] = []
        self.held: dict[int, SimulatedRequest] = {}
        self.refusals: Counter[str] = Counter()
        self.retry_afters: list[tuple[float, float]] = []
        self.rejected = self.sent = 0
        self.max_held = 0
        self.held_by_time: list[tuple[float, int]] = []

    def push(self, at: float, action: Callable[[float], None]) -> None:
        self.number += 1
        heapq.heappush(self.events, (at, self.number, action))

    def run(self) -> Simulation:
        options = self.options
        for route in ROUTES:
            self.push(self.random.expovariate(route.rate), self._make_arrival(route))
        self.push(0.0, self._step)
        while self.events:
            at, _, action = heapq.heappop(self.events)
            if at > options.duration + 14.0:
                break
            self.now = at
            action(at)
        return self

    # Arrivals.

    def _make_arrival(self, route: SimulatedRoute) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            options = self.options
            in_burst = options.burst[0] <= now < options.burst[1]
            factors = options.account_factors if in_burst else {}
            names = [f"account-{n}" for n in range(options.accounts)]
            weights = [factors.get(name, 1.0) for name in names]
            rate = route.rate * (options.overload if in_burst else 1.0)
            rate *= sum(weights) / len(weights) * options.targets / 70.0
            if now < options.duration:
                self.push(now + self.random.expovariate(rate), arrive)
                account = self.random.choices(names, weights)[0]
                tokens = int(self.random.lognormvariate(8.0, 0.6))
                request = SimulatedRequest(route, account, 0, now, tokens)
                self.requests.append(request)
                self._try(request, now)

        return arrive

    def _try(self, request: SimulatedRequest, now: float) -> None:
        request.instance = self.options.choose_instance(self.random, self.options.instances)
        request.tries += 1
        request.seen_at = now
        if not self.options.admits:
            self._send(request, now)
            return
        route = request.route
        deadline = request.arrived_at + route.deadline
        asked = AdmissionRequest(
            route.name, request.account, route.priority, route.objective, deadline, request.tokens
        )
        waiter = self.admissions[request.instance].decide(
            asked, self.view(request.instance, now), now
        )
        self._handle(waiter, request, now)

    def _handle(self, waiter: Waiter, request: SimulatedRequest, now: float) -> None:
        decision = waiter.decision
        if decision.outcome is Outcome.ADMIT:
            self._send(request, now)
        elif decision.outcome is Outcome.WAIT:
            self.held[id(waiter)] = request
        else:
            assert decision.reason is not None
            self.refusals[decision.reason.value] += 1
            self.retry_afters.append((now, decision.retry_after))
            self._retry(request, decision.retry_after, now)

    def _retry(self, request: SimulatedRequest, retry_after: float, now: float) -> None:
        storms = request.account in self.options.storming
        if request.tries >= (6 if storms else self.options.max_tries):
            request.result = "refused"
            return
        at_once = storms or self.random.random() < self.options.immediate_retries
        at = now + (0.02 if at_once else retry_after)
        self.push(at, lambda then: self._try(request, then))

    # Instances.

    def view(self, instance: int, now: float) -> RoomView:
        """Return the room as an instance sees it, with old counts of the others."""
        options = self.options
        then = self.history[0][1] if self.history else [0] * options.instances
        others = sum(then) - then[instance]
        usable = self._count_targets(now)
        own = self._count_own(now)[instance]
        # Loads are even here, so each target has its part of what is held.
        load = (own + others) / usable
        has_own = [own // usable + (n < own % usable) for n in range(usable)]
        targets = ((SLOTS, part, max(part, load)) for part in has_own)
        view = compute_view(targets, 500, options.instances, True)
        view.others = float(others)
        return options.distort(view, instance, now)

    def _reevaluate(self, instance: int, now: float) -> None:
        admission = self.admissions[instance]
        if not admission.queue:
            return
        for waiter in admission.reevaluate(self.view(instance, now), now):
            request = self.held.pop(id(waiter))
            if waiter.decision.outcome is Outcome.ADMIT:
                admission.record_started()
            self._handle(waiter, request, now)

    def _step(self, now: float) -> None:
        """Record the counts that others will see later, and look at the queues."""
        self.history.append((now, self._count_own(now)))
        while self.history[0][0] < now - self.options.count_age:
            self.history.popleft()
        held = sum(self._count_own(now))
        self.max_held = max(self.max_held, held)
        self.held_by_time.append((now, held))
        for instance in range(self.options.instances):
            self._reevaluate(instance, now)
        if now < self.options.duration + 13.0:
            self.push(now + STEP_S, self._step)

    # Targets.

    def _get_counts(self, target: int) -> list[int]:
        return self.own if target < self.options.targets_in_burst else self.own_away

    def _count_own(self, now: float) -> list[int]:
        """Return the requests of each instance at the targets that are usable now."""
        if self._count_targets(now) == self.options.targets_in_burst:
            return list(self.own)
        return [a + b for a, b in zip(self.own, self.own_away, strict=True)]

    def _count_targets(self, now: float) -> int:
        begin, end = self.options.burst
        return self.options.targets_in_burst if begin <= now < end else self.options.targets

    def _send(self, request: SimulatedRequest, now: float) -> None:
        self.sent += 1
        sample = [self.random.randrange(self._count_targets(now)) for _ in range(4)]
        target = min(sample, key=lambda t: self.running[t] + len(self.waiting[t]))
        if len(self.waiting[target]) >= QUEUE_LIMIT:
            self.rejected += 1
            self._retry(request, 0.0, now)
            return
        request.target = target
        request.admitted_at = now
        self._get_counts(target)[request.instance] += 1
        if self.running[target] < SLOTS:
            self._start(request, now)
        else:
            self.number += 1
            heapq.heappush(self.waiting[target], (request.route.priority, self.number, request))

    def _start(self, request: SimulatedRequest, now: float) -> None:
        request.started_at = now
        self.running[request.target] += 1
        hold = self._compute_hold(request, now)
        self.push(now + hold, lambda then: self._end(request, then))

    def _compute_hold(self, request: SimulatedRequest, now: float) -> float:
        return request.route.hold

    def _end(self, request: SimulatedRequest, now: float) -> None:
        route, target = request.route, request.target
        self.running[target] -= 1
        self._get_counts(target)[request.instance] -= 1
        assert request.started_at is not None and request.admitted_at is not None
        first = request.started_at + route.prefill - request.arrived_at
        request.result = "in time" if first <= route.objective else "late"
        if request.started_at == request.admitted_at:
            self.admissions[request.instance].record_holding(
                route.priority, route.objective, route.hold
            )
        while self.waiting[target]:
            following = heapq.heappop(self.waiting[target])[2]
            if now < following.arrived_at + following.route.deadline:
                self._start(following, now)
                break
            following.result = "expired"
            self._get_counts(target)[following.instance] -= 1
        self._reevaluate(request.instance, now)

    # Results.

    def select(
        self, route: str | None = None, account: str | None = None, since: float = 5.0
    ) -> list[SimulatedRequest]:
        """Return the requests of the burst from a second after its begin."""
        return [
            r
            for r in self.requests
            if since <= r.arrived_at < self.options.burst[1]
            and route in (None, r.route.name)
            and account in (None, r.account)
        ]

    def compute_worth(self) -> float:
        """Return the part of the worth of all requests of the burst that was earned."""
        selected = self.select()
        earned = sum(
            r.route.worth[0] if r.is_in_time else r.route.worth[1] if r.result == "late" else 0.0
            for r in selected
        )
        return earned / sum(r.route.worth[0] for r in selected)


def compute_share(requests: list[SimulatedRequest], *results: str) -> float:
    """Return the part of some requests that ended with one of some results."""
    return sum(r.result in results for r in requests) / max(1, len(requests))


def describe(simulation: Simulation) -> dict[str, object]:
    """Return the figures of a simulation, for design notes."""
    routes = {
        route.name: (
            round(compute_share(simulation.select(route.name), "in time"), 3),
            round(compute_share(simulation.select(route.name), "late"), 3),
            round(compute_share(simulation.select(route.name), "refused"), 3),
        )
        for route in ROUTES
    }
    return {
        "worth": round(simulation.compute_worth(), 3),
        "in time, late, refused": routes,
        "rejected by targets": round(simulation.rejected / max(1, simulation.sent), 3),
        "most held": simulation.max_held,
        "refusals": dict(simulation.refusals),
    }
