"""Ablation: disables mechanisms one by one and runs the same bench days with and without each.

    python -m tools.ablate --bench PATH --site FILE --seeds 1-2 --out results/ablation.json

Each mechanism in `ablations.toml` is disabled by a change of the program's source text, made in a
copy of the tree below --work. The result is the mean loss over pairs of runs of the same day and
seed, with its 95% confidence interval.
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

from tools.plays import DEFAULT_JOBS, Z_95, BenchRunner, DayResult, list_days, parse_seeds

ROOT: Final = Path(__file__).resolve().parent.parent
ABLATIONS_PATH: Final = ROOT / "tools" / "ablations.toml"
# The files and folders that the build in the deploy file needs; a copy also gets a new git folder.
COPIED_PATHS: Final = ("rhubarbbend", "platform", "deploy", "requirements.txt")


@attrs.define(slots=True, frozen=True)
class Mechanism:
    """A mechanism and the change of source text that disables it.

    `old` is replaced by `new` in `file`, a path relative to the root of the tree.
    """

    name: str
    file: str
    old: str
    new: str


@attrs.define(slots=True, frozen=True)
class AblationResult:
    """The effect of disabling a mechanism.

    `worth` and `served` are the mean losses of the bench's score and of the share of requests
    served, each with half of its confidence interval; `rules` are the rules that were broken.
    """

    name: str
    worth: float
    margin: float
    served: float
    served_margin: float
    rules: list[str]


def load_mechanisms(path: Path = ABLATIONS_PATH) -> list[Mechanism]:
    """Return the mechanisms listed in a TOML file."""
    return [Mechanism(**row) for row in tomllib.loads(path.read_text("utf-8"))["mechanism"]]


def disable_mechanism(mechanism: Mechanism, tree: Path) -> None:
    """Apply a mechanism's change to a copy of the tree.

    Raise `ValueError` if the text to replace does not occur exactly once.
    """
    path = tree / mechanism.file
    text = path.read_text("utf-8")
    if text.count(mechanism.old) != 1:
        raise ValueError(
            f"{mechanism.name}: {mechanism.file} does not contain the old text exactly once"
        )
    path.write_text(text.replace(mechanism.old, mechanism.new), "utf-8")


def copy_tree(source_tree: Path, work: Path, name: str) -> Path:
    """Copy a tree to a folder below `work`, make that a git repository, and return its path."""
    tree = work / name.replace(" ", "-")
    if tree.exists():
        shutil.rmtree(tree)
    tree.mkdir(parents=True)
    for path in COPIED_PATHS:
        source = source_tree / path
        if source.is_dir():
            shutil.copytree(source, tree / path, ignore=shutil.ignore_patterns("__pycache__"))
        else:
            shutil.copy2(source, tree / path)
    if (source_tree / "target").is_dir():
        shutil.copytree(source_tree / "target", tree / "target", symlinks=True)
    subprocess.run(["git", "init", "-q", str(tree)], check=True)
    return tree


def _compute_mean_loss(
    before: list[DayResult], after: list[DayResult], field: str
) -> tuple[float, float]:
    """Return the mean loss of a field over pairs, and half of its 95% confidence interval."""
    before_by_key = {(result.day, result.seed): result for result in before}
    losses = [
        getattr(before_by_key[changed.day, changed.seed], field) - getattr(changed, field)
        for changed in after
    ]
    deviation = statistics.stdev(losses) if len(losses) > 1 else 0.0
    return statistics.mean(losses), Z_95 * deviation / math.sqrt(len(losses))


def compute_ablation(name: str, before: list[DayResult], after: list[DayResult]) -> AblationResult:
    """Return the effect of a mechanism from the results with it and without it.

    Results are paired by day and seed.
    """
    worth, margin = _compute_mean_loss(before, after, "worth")
    served, served_margin = _compute_mean_loss(before, after, "served")
    rules = sorted({rule for result in after for rule in (*result.rules, result.fault) if rule})
    return AblationResult(name, worth, margin, served, served_margin, rules)


def format_row(row: AblationResult) -> str:
    """Return a row of the Markdown table."""
    return (
        f"| {row.name} | {row.worth:+.4f} ±{row.margin:.4f} | "
        f"{row.served:+.4f} ±{row.served_margin:.4f} | {', '.join(row.rules) or '-'} |"
    )


def main(arguments: list[str]) -> int:
    """Run the days with each mechanism disabled; print the table and write it as JSON."""
    parser = argparse.ArgumentParser(prog="python -m tools.ablate", description=__doc__)
    parser.add_argument("--bench", type=Path, required=True)
    parser.add_argument("--site", type=Path, required=True)
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-2"))
    parser.add_argument(
        "--days", default="", help="comma-separated names; default: all but quiet days"
    )
    parser.add_argument("--jobs", type=int, default=DEFAULT_JOBS)
    parser.add_argument("--only", default="", help="comma-separated names of mechanisms")
    parser.add_argument("--work", type=Path, required=True, help="folder for the copies")
    parser.add_argument("--out", type=Path, required=True)
    options = parser.parse_args(arguments)
    days = options.days.split(",") if options.days else list_days(options.site, False)
    selected = set(options.only.split(",")) if options.only else None

    def run_days(name: str, tree: Path) -> list[DayResult]:
        runner = BenchRunner(options.bench, options.site, tree, f"ablation: {name}")
        subprocess.run([str(options.bench), "build"], cwd=tree, check=True, capture_output=True)
        return runner.run_all(days, options.seeds, options.jobs)

    # All other copies are made from this one: the checkout may change during the runs.
    full_tree = copy_tree(ROOT, options.work, "all-on")
    before = run_days("all on", full_tree)
    rows: list[AblationResult] = []
    print("| without | worth lost | served lost | rules broken |\n| --- | --- | --- | --- |")
    for mechanism in load_mechanisms():
        if selected is not None and mechanism.name not in selected:
            continue
        tree = copy_tree(full_tree, options.work, mechanism.name)
        disable_mechanism(mechanism, tree)
        rows.append(
            compute_ablation(mechanism.name, before, run_days(f"without {mechanism.name}", tree))
        )
        print(format_row(rows[-1]), flush=True)
        options.out.write_text(json.dumps([attrs.asdict(row) for row in rows], indent=1), "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
