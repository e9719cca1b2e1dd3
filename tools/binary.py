"""`make binary`: packs the program and its pinned libraries into one file that runs as it is.

The libraries are copied from the environment that the tests run in, so the file holds exactly
what was tested and the build asks no registry. shiv makes the file: Python cannot load extension
modules from inside a zip, so on its first start the file unpacks itself into SHIV_ROOT.
"""

from __future__ import annotations

import argparse
import shutil
import tempfile
from importlib import metadata
from pathlib import Path
from typing import Final

import shiv.cli
from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT: Final = Path(__file__).resolve().parent.parent
ENTRY_POINT: Final = "rhubarbbend.__main__:run"
PACKAGE: Final = "rhubarbbend"
SKIPPED_FOLDERS: Final = frozenset({"__pycache__", "tests", "test"})
SKIPPED_SUFFIXES: Final = (".pyc", ".pyx", ".pxd", ".c", ".h")


class BuildError(Exception):
    """The environment does not hold what requirements.txt pins."""


def read_requirements(path: Path) -> list[tuple[str, str]]:
    """Read the pinned libraries as names and versions."""
    lines = [line.strip() for line in path.read_text("utf-8").splitlines()]
    return [(n, v) for n, _, v in (line.partition("==") for line in lines if line)]


def copy_library(name: str, version: str, target: Path) -> None:
    """Copy an installed library; raises `BuildError` if another version is installed."""
    try:
        found = metadata.distribution(name)
    except metadata.PackageNotFoundError as error:
        raise BuildError(f"{name} is not installed") from error
    if found.version != version:
        raise BuildError(f"{name}: expected {version}, found {found.version}")
    for file in found.files or ():
        outside = file.parts[0] == ".." or file.is_absolute()
        if outside or SKIPPED_FOLDERS & set(file.parts) or file.suffix in SKIPPED_SUFFIXES:
            continue
        copy = target / file
        copy.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), copy)


def check_closed(names: set[str]) -> None:
    """Raise `BuildError` if a library needs one that is not pinned: it would be missing later."""
    for name in sorted(names):
        for text in metadata.distribution(name).requires or ():
            needed = Requirement(text)
            applies = needed.marker is None or needed.marker.evaluate({"extra": ""})
            if applies and canonicalize_name(needed.name) not in names:
                raise BuildError(f"{name} needs {needed.name}, which requirements.txt lacks")


def collect_site(target: Path) -> None:
    """Collect everything that the file holds in a folder."""
    pinned = read_requirements(ROOT / "requirements.txt")
    for name, version in pinned:
        copy_library(name, version, target)
    check_closed({canonicalize_name(name) for name, _ in pinned})
    ignore = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / PACKAGE, target / PACKAGE, ignore=ignore)


def build_binary(output: Path) -> None:
    """Build the file. The same tree gives the same bytes."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="rhubarbbend-build-") as folder:
        site = Path(folder) / "site"
        collect_site(site)
        shiv.cli.main(
            [
                *("--site-packages", str(site)),
                *("--entry-point", ENTRY_POINT),
                *("--output-file", str(output)),
                *("--python", "/usr/bin/env python3.11"),
                *("--compressed", "--reproducible"),
            ],
            standalone_mode=False,
        )


def main() -> int:
    """Build the file and print its size."""
    parser = argparse.ArgumentParser(prog="tools.binary")
    parser.add_argument("--output", type=Path, default=ROOT / "dist" / PACKAGE)
    output: Path = parser.parse_args().output
    build_binary(output)
    print(f"{output}: {output.stat().st_size / 1e6:.1f} MB")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
