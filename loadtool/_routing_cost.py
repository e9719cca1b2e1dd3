"""Measures the processor time of a routing decision, by policy and number of targets."""

from __future__ import annotations

import random
import time
from typing import Final

from rhubarbbend.core.routing import POLICIES, Candidate, RoutedRequest
from rhubarbbend.core.routing._tickets import ContextLocation, Ticket

# Targets of the larger of today's pools, of one model at the size to design for, and of all
# models together at that size.
TARGET_COUNTS: Final = (9, 38, 950)
ZONE_COUNT: Final = 5
PLANS_PER_ROUND: Final = 20_000
ROUNDS: Final = 3


def make_candidates(count: int) -> list[Candidate]:
    """Return candidate targets spread over the zones; the first is the zone of the instance."""
    return [
        Candidate(
            target=f"engine-{number}",
            zone=f"zone-{number % ZONE_COUNT}",
            boot_id="boot",
            load=number % 7,
            limit=8,
            known=True,
            cold=False,
            own_zone=number % ZONE_COUNT == 0,
        )
        for number in range(count)
    ]


def measure_plan_time(name: str, count: int) -> float:
    """Return the processor time of one routing decision in seconds, the lowest of a few rounds."""
    policy = POLICIES.find(name)()
    candidates = make_candidates(count)
    places = (
        ContextLocation("engine-1", "boot", 0.0, 2_000),
        ContextLocation("engine-2", "boot", 0.0, 1_000),
    )
    rng = random.Random(1)
    best = float("inf")
    plans = max(20, PLANS_PER_ROUND // count)
    for _ in range(ROUNDS):
        started = time.process_time()
        for number in range(plans):
            # Half of the requests carry a ticket.
            ticket = Ticket(places) if number % 2 else None
            request = RoutedRequest(f"c{number}", 2_000, ticket, 10.0, 10.0, 8_000.0, 0.0)
            policy.plan(request, candidates, rng)
        best = min(best, (time.process_time() - started) / plans)
    return best


def format_plan_times() -> str:
    """Measure every policy and return the times as a Markdown table."""
    lines = ["| policy | " + " | ".join(f"{size} targets" for size in TARGET_COUNTS) + " |"]
    lines.append("| --- |" + " --- |" * len(TARGET_COUNTS))
    for name in POLICIES.list_names():
        cells = [f"{measure_plan_time(name, size) * 1e6:.0f} us" for size in TARGET_COUNTS]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)
