"""Plays many seeded roll-outs of the core alone and prints how they ended, by kind of badness."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Final

import msgspec

from loadtool._rollout_scenario import Badness, Play, Route, Site, Trouble
from loadtool._rollout_simulation import DESIGNS, Simulation
from rhubarbbend.core.rollouts import ExposureOptions, RolloutPhase

JOBS: Final = 4

ENGINE_ROUTES: Final = (
    Route("plan", 30.0, 1.3, 0.4, 0.0, False, events=42, chats=183),
    Route("query", 87.0, 1.0, 0.6, 0.0, True, events=32, chats=467),
    Route("check", 44.0, 0.12, 0.6, 0.0, False, events=3, chats=408),
)
PLAIN_ROUTES: Final = (
    Route("claim", 54.0, 0.045, 0.5, 0.004, False),
    Route("lookup", 12.4, 0.045, 0.5, 0.14, True),
)


def _scale(routes: tuple[Route, ...], factor: float) -> tuple[Route, ...]:
    return tuple(msgspec.structs.replace(r, per_s=r.per_s * factor) for r in routes)


SITES: Final = {
    site.name: site
    for site in (
        Site("engines, 6", 6, 6, _scale(ENGINE_ROUTES, 0.21), ExposureOptions(0.1, 50.0)),
        Site("engines, 83", 83, 45, ENGINE_ROUTES, ExposureOptions(0.1, 50.0)),
        Site("engines, 400", 400, 200, _scale(ENGINE_ROUTES, 5.0), ExposureOptions(0.1, 50.0)),
        Site("plain, 6", 6, 3, _scale(PLAIN_ROUTES, 0.2), ExposureOptions(0.1, 50.0)),
        Site("plain, 83", 83, 3, PLAIN_ROUTES, ExposureOptions(0.1, 50.0)),
    )
}
GOOD: Final = "good"
# By name; those of one route apply to the first route of the service.
KINDS: Final[dict[str, Badness]] = {
    GOOD: Badness(),
    "fails all": Badness(failing=1.0),
    "fails 1 in 2": Badness(failing=0.5),
    "fails 1 in 5": Badness(failing=0.2),
    "fails 1 in 20": Badness(failing=0.05),
    "8 times slower": Badness(slow=8.0),
    "3 times slower": Badness(slow=3.0),
    "2 times slower": Badness(slow=2.0),
    "fails 1 in 2 from 6 s": Badness(failing=0.5, after_s=6.0),
    "fails 1 in 2 from 10 s": Badness(failing=0.5, after_s=10.0),
    "3 times slower from 8 s": Badness(slow=3.0, after_s=8.0),
    "fails 1 in 2 under load": Badness(failing=0.5, above_load=3),
    "fails 1 in 5 on one route": Badness(failing=0.2, route="first"),
    "3 times slower on one route": Badness(slow=3.0, route="first"),
}


class Case(msgspec.Struct, frozen=True):
    """One roll-out to play."""

    site: str
    kind: str
    trouble: Trouble
    design: str
    seed: int


class Tally(msgspec.Struct):
    """The plays of one kind, added up."""

    played: int = 0
    over_cap: int = 0
    right_in_time: int = 0
    highest_exposure: float = 0.0
    ended_at_s: float = 0.0
    lost: int = 0
    repeated: int = 0
    requests: int = 0

    def add(self, play: Play, is_bad: bool, options: ExposureOptions) -> None:
        """Add one play."""
        wanted = RolloutPhase.ROLLED_BACK if is_bad else RolloutPhase.SUCCEEDED
        self.played += 1
        self.over_cap += is_bad and play.is_over_cap(options)
        self.right_in_time += play.phase is wanted
        exposure = play.exposed / max(1.0, play.compute_cap(options))
        self.highest_exposure = max(self.highest_exposure, exposure)
        self.ended_at_s += min(play.ended_at, 12.0)
        self.lost += play.lost
        self.repeated += play.repeated
        self.requests += play.requests


def list_cases(sites: list[str], design: str, seed: int, count: int) -> Iterator[Case]:
    """Return `count` cases: kinds and troubles in turn, every second roll-out a good one."""
    bad_kinds = [kind for kind in KINDS if kind != GOOD]
    troubles = list(Trouble)
    for number in range(count):
        kind = GOOD if number % 2 else bad_kinds[number // 2 % len(bad_kinds)]
        trouble = troubles[number // 2 % len(troubles)]
        yield Case(sites[number // 2 % len(sites)], kind, trouble, design, seed + number)


def play_case(case: Case) -> tuple[Case, Play]:
    """Play one roll-out."""
    site = SITES[case.site]
    badness = KINDS[case.kind]
    if badness.route:
        badness = msgspec.structs.replace(badness, route=site.routes[0].name)
    return case, Simulation(site, badness, case.trouble, case.design, case.seed).run()


def run(seed: int, count: int, design: str, sites: list[str], jobs: int = JOBS) -> int:
    """Play roll-outs, print the table and its last line; return 1 if any went over the cap."""
    tallies: dict[tuple[str, str, str], Tally] = {}
    wrong: list[tuple[Case, Play]] = []
    cases = list(list_cases(sites, design, seed, count))
    with ProcessPoolExecutor(jobs) as pool:
        for case, play in pool.map(play_case, cases, chunksize=4):
            is_bad = KINDS[case.kind].is_bad
            options = SITES[case.site].options
            trouble = case.trouble.value if case.kind == GOOD else "any"
            tally = tallies.setdefault((case.site, case.kind, trouble), Tally())
            tally.add(play, is_bad, options)
            is_false = not is_bad and play.phase is RolloutPhase.ROLLED_BACK
            if is_false or (is_bad and play.is_over_cap(options)):
                wrong.append((case, play))
    _print_table(tallies)
    for case, play in wrong[:20]:
        print(f"wrong: {case} {play}", file=sys.stderr)
    bad = [t for (_, kind, _), t in tallies.items() if kind != GOOD]
    good = [t for (_, kind, _), t in tallies.items() if kind == GOOD]
    over_cap = sum(t.over_cap for t in bad)
    rolled_back = sum(not KINDS[case.kind].is_bad for case, play in wrong)
    missed = sum(t.played - t.right_in_time for t in good) - rolled_back
    not_ended = sum(t.played - t.right_in_time for t in bad)
    print(
        f"rollouts: {count} played, over the cap {over_cap}, bad not ended in time {not_ended}, "
        f"good rolled back {rolled_back}, good not succeeded in time {missed}"
    )
    return int(over_cap > 0)


def _print_table(tallies: dict[tuple[str, str, str], Tally]) -> None:
    print(
        "| service, instances | version | trouble | played | ended rightly in time | over the cap"
    )
    print("  | greatest share of the cap | mean end, s | lost per 1,000 | repeated per 1,000 |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for (site, kind, trouble), tally in sorted(tallies.items()):
        print(
            f"| {site} | {kind} | {trouble} | {tally.played} | {tally.right_in_time}"
            f" | {tally.over_cap} | {tally.highest_exposure:.2f}"
            f" | {tally.ended_at_s / tally.played:.1f}"
            f" | {1000.0 * tally.lost / tally.requests:.2f}"
            f" | {1000.0 * tally.repeated / tally.requests:.2f} |"
        )


def main(seed: int, count: int, design: str, site: str) -> int:
    """Run the command `rollouts`; `site` is one of `SITES`, or empty for all but the largest."""
    sites = [site] if site else [name for name in SITES if not name.endswith("400")]
    assert design in DESIGNS
    return run(seed, count, design, sites)
