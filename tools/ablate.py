"""Switches mechanisms off one by one and plays the same days with and without each.

    python -m tools.ablate --bench PATH --site FILE --seeds 1-2 --out results/ablation.json

Each mechanism of `ablations.toml` is a change of the program's text, made in a copy of the tree
under --work. The difference is the mean over pairs of the same day and seed, with its 95%
interval: what the mechanism is worth there.
"""

from __future__ import annotations

import argparse
import json
import math
import shutil
import statistics
import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Final

import attrs

from tools.plays import DEFAULT_JOBS, Z_95, Play, Player, list_days, parse_seeds

ROOT: Final = Path(__file__).resolve().parent.parent
LIST: Final = ROOT / "tools" / "ablations.toml"
# What a copy is made of, beside git's own folder: all that the deploy file's build needs.
PARTS: Final = ("rhubarbbend", "platform", "deploy", "requirements.txt")


@attrs.define(slots=True, frozen=True)
class Mechanism:
    """One mechanism and the change of text that switches it off. `file` is below the root."""

    name: str
    file: str
    old: str
    new: str


@attrs.define(slots=True, frozen=True)
class Worth:
    """What a mechanism is worth: the loss of worth and of requests served without it."""

    name: str
    worth: float
    margin: float
    served: float
    served_margin: float
    rules: list[str]


def load_mechanisms(path: Path = LIST) -> list[Mechanism]:
    """Read the list of mechanisms."""
    return [Mechanism(**row) for row in tomllib.loads(path.read_text("utf-8"))["mechanism"]]


def switch_off(mechanism: Mechanism, tree: Path) -> None:
    """Change the text in a copy; raises if it is not there exactly once."""
    path = tree / mechanism.file
    text = path.read_text("utf-8")
    if text.count(mechanism.old) != 1:
        raise ValueError(f"{mechanism.name}: {mechanism.file} has its text other than once")
    path.write_text(text.replace(mechanism.old, mechanism.new), "utf-8")


def make_copy(source_tree: Path, work: Path, name: str) -> Path:
    """Copy a tree into a folder of its own with a repository around it."""
    tree = work / name.replace(" ", "-")
    if tree.exists():
        shutil.rmtree(tree)
    tree.mkdir(parents=True)
    for part in PARTS:
        source = source_tree / part
        if source.is_dir():
            shutil.copytree(source, tree / part, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy2(source, tree / part)
    if (source_tree / "target").is_dir():
        shutil.copytree(source_tree / "target", tree / "target", symlinks=True)
    subprocess.run(["git", "init", "-q", str(tree)], check=True)
    return tree


def _compare(before: list[Play], after: list[Play], field: str) -> tuple[float, float]:
    """Give the mean loss of a figure over pairs, and half of its interval."""
    known = {(play.day, play.seed): play for play in before}
    losses = [getattr(known[p.day, p.seed], field) - getattr(p, field) for p in after]
    spread = statistics.stdev(losses) if len(losses) > 1 else 0.0
    return statistics.mean(losses), Z_95 * spread / math.sqrt(len(losses))


def weigh(name: str, before: list[Play], after: list[Play]) -> Worth:
    """Work out what a mechanism is worth from plays with and without it."""
    worth, margin = _compare(before, after, "worth")
    served, served_margin = _compare(before, after, "served")
    rules = sorted({rule for play in after for rule in (*play.rules, play.fault) if rule})
    return Worth(name, worth, margin, served, served_margin, rules)


def format_row(row: Worth) -> str:
    """Give a row of the table, as Markdown."""
    return (
        f"| {row.name} | {row.worth:+.4f} ±{row.margin:.4f} | "
        f"{row.served:+.4f} ±{row.served_margin:.4f} | {', '.join(row.rules) or '-'} |"
    )


def main(words: list[str]) -> int:
    """Play and print the table."""
    parser = argparse.ArgumentParser(prog="python -m tools.ablate", description=__doc__)
    parser.add_argument("--bench", type=Path, required=True)
    parser.add_argument("--site", type=Path, required=True)
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-2"))
    parser.add_argument("--days", default="", help="names with commas; default: all with trouble")
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("--only", default="", help="names of mechanisms, with commas")
    parser.add_argument("--work", type=Path, required=True, help="a folder for the copies")
    parser.add_argument("--out", type=Path, required=True)
    options = parser.parse_args(words)
    days = options.days.split(",") if options.days else list_days(options.site, False)
    wanted = set(options.only.split(",")) if options.only else None

    def play(name: str, tree: Path) -> list[Play]:
        player = Player(options.bench, options.site, tree, f"ablation: {name}")
        subprocess.run([str(options.bench), "build"], cwd=tree, check=True, capture_output=True)
        return player.play_all(days, options.seeds, options.jobs)

    # The others are copied from this one: the checkout may change while the plays go on.
    whole = make_copy(ROOT, options.work, "all-on")
    before = play("all on", whole)
    rows: list[Worth] = []
    print("| without | worth lost | served lost | rules broken |\n| --- | --- | --- | --- |")
    for mechanism in load_mechanisms():
        if wanted is not None and mechanism.name not in wanted:
            continue
        tree = make_copy(whole, options.work, mechanism.name)
        switch_off(mechanism, tree)
        rows.append(weigh(mechanism.name, before, play(f"without {mechanism.name}", tree)))
        print(format_row(rows[-1]), flush=True)
        options.out.write_text(json.dumps([attrs.asdict(row) for row in rows], indent=1), "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
