"""`make binary`: packs the program and its pinned libraries into one executable file.

The libraries are copied from the environment that the tests run in, so the file contains exactly
what was tested and the build needs no package registry. shiv makes the file: Python cannot load
extension modules from inside a zip, so on its first start the file unpacks itself into SHIV_ROOT.
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
    """The environment does not match requirements.txt, or requirements.txt is incomplete."""


def read_requirements(path: Path) -> list[tuple[str, str]]:
    """Return the pinned libraries as (name, version) pairs."""
    lines = [line.strip() for line in path.read_text("utf-8").splitlines()]
    return [(n, v) for n, _, v in (line.partition("==") for line in lines if line)]


def copy_library(name: str, version: str, target: Path) -> None:
    """Copy an installed library into a folder, without tests and sources of extension modules.

    Raise `BuildError` if it is not installed or has another version.
    """
    try:
        installed = metadata.distribution(name)
    except metadata.PackageNotFoundError as error:
        raise BuildError(f"{name} is not installed") from error
    if installed.version != version:
        raise BuildError(f"{name}: expected {version}, found {installed.version}")
    for file in installed.files or ():
        is_outside = file.parts[0] == ".." or file.is_absolute()
        if is_outside or SKIPPED_FOLDERS & set(file.parts) or file.suffix in SKIPPED_SUFFIXES:
            continue
        destination = target / file
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copyfile(file.locate(), destination)


def check_all_dependencies_pinned(names: set[str]) -> None:
    """Raise `BuildError` if a library depends on one that is not in `names`.

    Such a dependency would be missing from the file, which shows only when the program runs.
    """
    for name in sorted(names):
        for text in metadata.distribution(name).requires or ():
            requirement = Requirement(text)
            is_applicable = requirement.marker is None or requirement.marker.evaluate({"extra": ""})
            if is_applicable and canonicalize_name(requirement.name) not in names:
                raise BuildError(f"{name} needs {requirement.name}, which requirements.txt lacks")


def copy_site_packages(target: Path) -> None:
    """Copy the pinned libraries and the program into a folder: the content of the file."""
    pinned = read_requirements(ROOT / "requirements.txt")
    for name, version in pinned:
        copy_library(name, version, target)
    check_all_dependencies_pinned({canonicalize_name(name) for name, _ in pinned})
    ignore = shutil.ignore_patterns("__pycache__")
    shutil.copytree(ROOT / PACKAGE, target / PACKAGE, ignore=ignore)


def build_binary(output: Path) -> None:
    """Build the file. The build is reproducible: the same tree gives the same bytes."""
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory(prefix="rhubarbbend-build-") as folder:
        site = Path(folder) / "site"
        copy_site_packages(site)
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
