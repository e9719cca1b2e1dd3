"""Command line of the load and measurement tool: `python -m loadtool COMMAND`."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Callable

from loadtool import (
    _chaos,
    _commands,
    _crash_table,
    _demo,
    _group_cut,
    _helper_simulation,
    _rollout_table,
    _slopes,
    _soak,
)
from loadtool._crash_simulation import Setup
from loadtool._rollout_simulation import DESIGNS
from loadtool._rollout_table import SITES

COMMANDS: dict[str, Callable[[argparse.Namespace], int]] = {
    "crashes": lambda options: _run_crashes(options),
    "cut": lambda options: _run_cut(options),
    "soak": lambda options: _run_soak(options),
    "demo": lambda options: _demo.main(),
    "helpers": lambda options: _helper_simulation.main(
        options.instances, options.zones, options.seeds
    ),
    "rollouts": lambda options: _rollout_table.main(
        options.seed, options.count, options.design, options.site
    ),
    "slopes": lambda options: _slopes.main(),
    "measure": _commands.run_measure,
    "compare": _commands.run_compare,
    "tables": _commands.run_tables,
    "show": _commands.run_show,
    "costs": _commands.run_costs,
}


def _run_soak(options: argparse.Namespace) -> int:
    if options.on == "product":
        return _chaos.main(options.seed, options.duration)
    kinds = _soak.SoakOptions(
        has_rollout=options.rollout,
        has_notices=options.notices,
        has_link_faults=options.links,
        has_crashes=options.crashes,
        has_unframed_answers=options.unframed,
        has_versions=options.versions,
        has_crashing_parts=options.parts,
        is_crowded=options.crowd,
        has_connection_limits=options.full,
        has_load=options.load,
        has_unread_answers=options.unread,
        has_config_changes=options.changes,
        has_returns=options.returns,
    )
    return _soak.main(options.seed, options.seeds, options.duration, options.size, kinds)


def _run_cut(options: argparse.Namespace) -> int:
    seeds = range(options.seed, options.seed + options.seeds)
    if options.random:
        return _group_cut.main(seeds, None, options.instances, options.duration)
    chosen = _group_cut.CutOptions(
        instances=options.instances,
        rate=options.rate,
        zones_cut=options.zones,
        share=options.share,
        cut=_group_cut.LinkCut(options.how),
        service=options.service,
        flaps=options.flaps,
        starting=options.starting,
        store_lost=options.store_lost,
        delay=options.delay,
        after=options.after,
        duration=options.duration,
    )
    return _group_cut.main(seeds, chosen, options.instances, options.duration)


def _add_cut_options(cut: argparse.ArgumentParser) -> None:
    cut.add_argument("--seed", type=int, default=1)
    cut.add_argument("--seeds", type=int, default=1, help="number of seeds to run")
    cut.add_argument("--random", action="store_true", help="choose the rest by the seed")
    cut.add_argument("--instances", type=int, default=36)
    cut.add_argument("--duration", type=float, default=12.0, help="seconds that the cut lasts")
    cut.add_argument("--rate", type=float, default=120.0, help="requests a second in all")
    cut.add_argument("--zones", type=int, default=1, help="whole zones that are cut off")
    cut.add_argument("--share", type=float, default=0.0, help="instead, a share of all instances")
    cut.add_argument("--how", default="silent", choices=[c.value for c in _group_cut.LinkCut])
    cut.add_argument("--service", default="", choices=("", "plain", "llm"))
    cut.add_argument("--flaps", action="store_true", help="the cut comes and goes")
    cut.add_argument("--starting", type=int, default=0, help="instances that start meanwhile")
    cut.add_argument(
        "--delay", type=float, default=0.0, help="seconds until engines begin to answer"
    )
    cut.add_argument(
        "--after", type=float, default=0.0, help="seconds that callers go on once links are back"
    )
    cut.add_argument("--store-lost", action="store_true", help="the store is silent meanwhile")


def _run_crashes(options: argparse.Namespace) -> int:
    if options.recurring:
        return _crash_table.play_recurrences(options.instances, options.seeds)
    setup = Setup(options.instances, options.engines, options.rate)
    return _crash_table.main(setup, options.seeds)


def _add_crash_options(crashes: argparse.ArgumentParser) -> None:
    crashes.add_argument("--instances", type=int, default=8)
    crashes.add_argument("--engines", type=int, default=9)
    crashes.add_argument("--rate", type=float, default=70.0, help="requests a second")
    crashes.add_argument("--seeds", type=int, default=5)
    crashes.add_argument("--recurring", action="store_true", help="whole requests that come back")


def _add_soak_kinds(soak: argparse.ArgumentParser) -> None:
    """Add the options for what a soak has beside its usual faults."""
    soak.add_argument("--rollout", action="store_true", help="roll out a version meanwhile")
    soak.add_argument(
        "--notices", action="store_true", help="targets also ask for pauses and say that they leave"
    )
    soak.add_argument(
        "--links", action="store_true", help="instances also lose their own links to targets"
    )
    soak.add_argument(
        "--crashes", action="store_true", help="callers also send requests that crash targets"
    )
    soak.add_argument(
        "--unframed", action="store_true", help="answers end with connections, and are broken off"
    )
    soak.add_argument(
        "--versions", action="store_true", help="engines get other versions; streams are taken up"
    )
    soak.add_argument(
        "--parts", action="store_true", help="callers also send parts of prompts that crash engines"
    )
    soak.add_argument(
        "--full", action="store_true", help="targets accept fewer connections, then more again"
    )
    soak.add_argument(
        "--crowd", action="store_true", help="most new connections go to one instance, moving on"
    )
    soak.add_argument(
        "--load", action="store_true", help="demand exceeds what targets can do; their pace varies"
    )
    soak.add_argument(
        "--unread", action="store_true", help="callers also read slowly or not at all"
    )
    soak.add_argument(
        "--changes", action="store_true", help="the configuration changes in quick succession"
    )
    soak.add_argument(
        "--returns", action="store_true", help="all instances are lost at once and come back"
    )


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="loadtool")
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("demo", help="run a complete deployment for about 15 s")
    commands.add_parser(
        "slopes", help="measure how the cost of each role grows with the size of the fleet"
    )
    soak = commands.add_parser(
        "soak", help="inject random faults and check the guarantees meanwhile"
    )
    soak.add_argument("--on", choices=("platform", "product"), default="platform")
    soak.add_argument("--seed", type=int, default=1)
    soak.add_argument(
        "--seeds", type=int, default=1, help="number of seeds to run, one after the other"
    )
    soak.add_argument("--duration", type=float, default=40.0, help="seconds per seed")
    soak.add_argument(
        "--size", type=int, default=_soak.DEFAULT_INSTANCE_COUNT, help="number of instances"
    )
    rollouts = commands.add_parser(
        "rollouts", help="play seeded roll-outs of the core alone, in virtual time"
    )
    rollouts.add_argument("--seed", type=int, default=1)
    rollouts.add_argument("--count", type=int, default=1_000, help="number of roll-outs")
    rollouts.add_argument("--design", choices=sorted(DESIGNS), default="capped")
    rollouts.add_argument("--site", choices=sorted(SITES), default="", help="one service only")
    _add_crash_options(
        commands.add_parser(
            "crashes", help="compare ways to judge what crashes targets: parts, or whole requests"
        )
    )
    _add_cut_options(
        commands.add_parser("cut", help="cut a group of instances off from targets, count served")
    )
    helpers = commands.add_parser(
        "helpers", help="compare ways to find an instance that reaches targets, in virtual time"
    )
    helpers.add_argument("--instances", type=int, default=67)
    helpers.add_argument("--zones", type=int, default=4)
    helpers.add_argument("--seeds", type=int, default=5)
    _add_soak_kinds(soak)
    _commands.add_parsers(commands)
    return parser.parse_args()


if __name__ == "__main__":
    options = _parse_arguments()
    sys.exit(COMMANDS[options.command](options))
