"""Measures the processor time of choosing a target, with and without reports of pace."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from random import Random
from typing import Final

from rhubarbbend.core.capacity import UnreadTokens
from rhubarbbend.core.catalog import Engine, Service
from rhubarbbend.core.directory import TargetRecord, TargetRegistry, TargetState
from rhubarbbend.core.placement import (
    BrittleTracker,
    HealthTracker,
    LoadTracker,
    PauseTracker,
    Placement,
    PlacementOptions,
    Prompt,
    PromptPart,
    TargetLoad,
)
from rhubarbbend.core.shares import ColdTargetShare

TARGET_COUNTS: Final = (70, 950)
ZONE_COUNT: Final = 4
INSTANCES: Final = tuple(f"i{number}" for number in range(67))
# Each choice is repeated, and its fastest run counts: the others were disturbed.
REPEATS: Final = 200
PROMPT_COUNT: Final = 8
ENGINES: Final = Service("llm", 510, 0.0, 0.0, Engine(12, 392_112, 163_840))
PLAIN: Final = Service("plain", 460, 0.0, 0.0)
PROMPTS: Final = tuple(
    Prompt((PromptPart(f"shared-{number}", 2_000), PromptPart("own", 300)))
    for number in range(PROMPT_COUNT)
)


def make_placement(service: Service, count: int, reports_pace: bool) -> Placement:
    """Return a placement that knows the load of each target, and times of the service."""
    registry = TargetRegistry()
    loads = LoadTracker()
    reports: list[TargetLoad] = []
    for number in range(count):
        name, zone = f"t{number}", f"zone-{number % ZONE_COUNT}"
        registry.register(
            TargetRecord(name, service.name, "10.0.0.1", 80, zone, 12, TargetState.READY), -100.0
        )
        pace = 80 + number % 50 if reports_pace else None
        reports.append(TargetLoad(name, number % 7, 0.1, 12, pace))
    registry.mark_initial_read_complete(0.0)
    loads.merge_reports(reports, True, 10.0)
    placement = Placement(
        PlacementOptions("zone-0"),
        registry,
        loads,
        HealthTracker(),
        ColdTargetShare("i0", 1.5, 5.0),
        PauseTracker(),
        BrittleTracker("i0", Random(1)),
    )
    target = registry.list_available(service.name, 10.0)[0]
    for _ in range(5):
        unread = UnreadTokens(500.0, True)
        work = placement.estimator.record_sent(service.name, "r", target, 2.0, unread, 8.0)
        placement.estimator.record_first_event(work, 8.1)
        placement.estimator.record_answered(work, 10, 8.5)
    return placement


def measure_choice(service: Service, count: int, reports_pace: bool) -> float:
    """Return the seconds of a choice, the mean over some prompts."""
    placement = make_placement(service, count, reports_pace)
    random = Random(1)

    def choose(prompt: Prompt) -> None:
        used = None if service.engine is None else prompt
        placement.choose(service, used, set(), INSTANCES, random, 10.0, route="r")

    return _measure_fastest(choose)


def measure_estimate(service: Service, count: int) -> float:
    """Return the seconds of an estimate over all targets whose waits are not known yet."""
    placement = make_placement(service, count, True)
    now = 10.0

    def estimate(prompt: Prompt) -> None:
        nonlocal now
        # Later than the waits are kept.
        now += 0.021
        placement.estimate_first_event(service, "r", prompt, now)

    return _measure_fastest(estimate)


def _measure_fastest(call: Callable[[Prompt], None]) -> float:
    fastest = [math.inf] * PROMPT_COUNT
    for _ in range(REPEATS):
        for number, prompt in enumerate(PROMPTS):
            started = time.perf_counter()
            call(prompt)
            fastest[number] = min(fastest[number], time.perf_counter() - started)
    return sum(fastest) / PROMPT_COUNT


def format_choice_times() -> str:
    """Measure the choices and return the times as a Markdown table."""
    lines = ["| choice | " + " | ".join(f"{count} targets" for count in TARGET_COUNTS) + " |"]
    lines.append("| --- |" + " --- |" * len(TARGET_COUNTS))
    for service, kind in ((ENGINES, "prompt"), (PLAIN, "plain")):
        for reports_pace, label in ((False, "without pace"), (True, "with pace")):
            cells = [
                f"{measure_choice(service, count, reports_pace) * 1e6:.0f} us"
                for count in TARGET_COUNTS
            ]
            lines.append(f"| {kind}, {label} | " + " | ".join(cells) + " |")
    cells = [f"{measure_estimate(ENGINES, count) * 1e6:.0f} us" for count in TARGET_COUNTS]
    lines.append("| estimate over all targets | " + " | ".join(cells) + " |")
    return "\n".join(lines)


if __name__ == "__main__":
    print(format_choice_times())
