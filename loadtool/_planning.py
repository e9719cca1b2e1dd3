"""Processor time of one routing decision, by policy and number of targets."""

from __future__ import annotations

import random
import time
from typing import Final

from rhubarbbend.core.routing import POLICIES, Candidate, RoutedRequest
from rhubarbbend.core.routing._tickets import ContextLocation, Ticket

# Today's larger pool, a model's share of the size to design for, and all of its workers.
SIZES: Final = (9, 38, 950)
ZONES: Final = 5
PLANS: Final = 20_000
ROUNDS: Final = 3


def make_candidates(count: int) -> list[Candidate]:
    """Make targets over the zones, those of the first zone the own ones."""
    return [
        Candidate(
            target=f"engine-{number}",
            zone=f"zone-{number % ZONES}",
            boot_id="boot",
            load=number % 7,
            limit=8,
            known=True,
            cold=False,
            own_zone=number % ZONES == 0,
        )
        for number in range(count)
    ]


def time_plan(name: str, count: int) -> float:
    """Give the processor seconds of one plan, the best of a few rounds."""
    policy = POLICIES.find(name)()
    candidates = make_candidates(count)
    places = (
        ContextLocation("engine-1", "boot", 0.0, 2_000),
        ContextLocation("engine-2", "boot", 0.0, 1_000),
    )
    rng = random.Random(1)
    best = float("inf")
    plans = max(20, PLANS // count)
    for _ in range(ROUNDS):
        started = time.process_time()
        for number in range(plans):
            # Half of the requests come with a ticket.
            ticket = Ticket(places) if number % 2 else None
            request = RoutedRequest(f"c{number}", 2_000, ticket, 10.0, 10.0, 8_000.0, 0.0)
            policy.plan(request, candidates, rng)
        best = min(best, (time.process_time() - started) / plans)
    return best


def show_planning() -> str:
    """Show the times as a table in markdown."""
    lines = ["| policy | " + " | ".join(f"{size} targets" for size in SIZES) + " |"]
    lines.append("| --- |" + " --- |" * len(SIZES))
    for name in POLICIES.list_names():
        cells = [f"{time_plan(name, size) * 1e6:.0f} us" for size in SIZES]
        lines.append(f"| {name} | " + " | ".join(cells) + " |")
    return "\n".join(lines)
