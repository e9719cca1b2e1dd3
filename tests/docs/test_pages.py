"""The pages name what exists, all of it: counters, errors, settings, commands, exit statuses."""

from __future__ import annotations

import argparse
import re
from pathlib import Path

import attrs
import pytest

from loadtool._processes import ROOT
from rhubarbbend import codes
from rhubarbbend.cli import ExitStatus
from rhubarbbend.cli._options import make_parser
from rhubarbbend.core import CoreOptions
from rhubarbbend.settings import Settings

DOCS = ROOT / "docs"
PAGES = sorted([*DOCS.glob("*.md"), *DOCS.glob("design/*.md"), ROOT / "README.md"])
COMMAND = re.compile(r"(?:^|`)\s*rhubarbbend ([a-z][a-z-]*)", re.MULTILINE)
MAKE = re.compile(r"(?:^|`)\s*make ([a-z-]+)", re.MULTILINE)
MODULE = re.compile(r"python -m ((?:tools|loadtool|standins)[a-z_.]*)")
LINK = re.compile(r"`((?:rhubarbbend|loadtool|standins|tools|tests|docs|examples)/[\w./-]+)`")

# Where the names on the pages have to stand. This file is left out: it holds invented names.
SOURCE_DIRS = [
    "rhubarbbend",
    "platform",
    "loadtool",
    "standins",
    "tools",
    "tests",
    "deploy",
    "examples",
]
SOURCE_SUFFIXES = {".py", ".toml", ".thrift"}
SOURCE_FILES = ["Makefile", "KNOWN-RED.txt"]
FENCED_BLOCK = re.compile(r"^```.*?^```", re.MULTILINE | re.DOTALL)
QUOTED = re.compile(r"`([^`]+)`")
MODULE_FILE = re.compile(r"[\w/]+\.py\b")
WORD = re.compile(r"\w+")
# snake_case and UPPER_CASE with an underscore, CamelCase with two humps.
NAME = re.compile(r"_?[a-z]\w*_\w+|_?[A-Z][A-Z0-9]*_[A-Z0-9_]+|_?(?:[A-Z][a-z0-9]+){2,}|_[a-z]\w*")
# No source holds these as one word: metrics are exported under a prefix, with `_` for each dot.
COMPOSED_NAMES = {
    "rhubarbbend_answer_seconds",
    *(name.replace(".", "_") for name in codes.list_counters()),
}


def _read(name: str) -> str:
    return (DOCS / name).read_text("utf-8")


def _list_commands() -> set[str]:
    actions = make_parser()._actions
    chosen = next(a for a in actions if isinstance(a, argparse._SubParsersAction))
    return set(chosen.choices)


def _list_settings() -> list[str]:
    keys: list[str] = []
    for section in attrs.fields(attrs.resolve_types(Settings)):
        if section.name == "seeds":
            keys.append("seeds")
        elif section.name != "core":
            keys.extend(f"{section.name}.{field.name}" for field in attrs.fields(section.type))
    return keys


def test_every_counter_and_error_is_on_the_operators_page() -> None:
    page = _read("OPERATIONS.md")
    assert [name for name in codes.list_counters() if f"`{name}`" not in page] == []


def test_every_error_is_on_the_callers_page() -> None:
    page = _read("INTERFACES.md")
    for code in codes.list_errors():
        lines = [line for line in page.splitlines() if f"`{code.name}`" in line]
        assert any(f"| {code.status} |" in line for line in lines), code.name


def test_every_setting_is_on_the_operators_page() -> None:
    page = _read("OPERATIONS.md")
    assert [key for key in _list_settings() if f"`{key}`" not in page] == []
    core = [field.name for field in attrs.fields(CoreOptions)]
    assert [name for name in core if f"`{name}`" not in page] == []


def test_every_command_and_exit_status_is_on_the_operators_page() -> None:
    page = _read("OPERATIONS.md")
    for command in _list_commands():
        assert f"`rhubarbbend {command}" in page, command
    for status in ExitStatus:
        assert f"| {status.value} | `{status.name}` |" in page, status


@pytest.mark.parametrize("page", PAGES, ids=lambda path: path.stem)
def test_what_a_page_names_exists(page: object) -> None:
    text = (DOCS / str(page)).read_text("utf-8")
    assert set(COMMAND.findall(text)) <= _list_commands()
    targets = re.findall(r"^([a-z-]+):", (ROOT / "Makefile").read_text("utf-8"), re.MULTILINE)
    assert set(MAKE.findall(text)) <= set(targets)
    for module in MODULE.findall(text):
        path = ROOT / module.replace(".", "/")
        assert path.is_dir() or path.with_suffix(".py").exists(), module
    missing = [path for path in LINK.findall(text) if not (ROOT / path).exists()]
    assert missing == []


def _read_sources() -> tuple[set[str], list[str]]:
    """Return the words of all sources, and their paths, each with a leading slash."""
    paths = [ROOT / name for name in SOURCE_FILES]
    for directory in SOURCE_DIRS:
        files = (ROOT / directory).rglob("*")
        paths += [path for path in files if path.suffix in SOURCE_SUFFIXES]
    paths.remove(Path(__file__).resolve())
    words: set[str] = set()
    for path in paths:
        words.update(WORD.findall(path.read_text("utf-8")))
    return words, [f"/{path.relative_to(ROOT)}" for path in paths]


def _list_missing_names(text: str, words: set[str], paths: list[str]) -> list[str]:
    """Return the names in backquotes that no source holds."""
    missing: list[str] = []
    for quoted in QUOTED.findall(FENCED_BLOCK.sub("", text)):
        files = MODULE_FILE.findall(quoted)
        missing += [file for file in files if not any(path.endswith(f"/{file}") for path in paths)]
        names = [name for name in WORD.findall(MODULE_FILE.sub("", quoted)) if NAME.fullmatch(name)]
        missing += [name for name in names if name not in words | COMPOSED_NAMES]
    return missing


def test_names_in_backquotes_are_in_the_sources() -> None:
    """Guards against pages that name what a rename or a removal has taken out of the sources.

    A newcomer searches the tree for such a name and finds nothing.
    """
    words, paths = _read_sources()
    missing = {
        page.name: names
        for page in PAGES
        if (names := _list_missing_names(page.read_text("utf-8"), words, paths))
    }
    assert missing == {}


@pytest.mark.parametrize(
    "name",
    [
        "invented_name",
        "InventedName",
        "INVENTED_NAME",
        "invented_name()",
        "CoreOptions.invented_name",
        "_invented",
        "core/owners/_invented.py",
        "core/requests/_owned_target.py",
        "rhubarbbend.core.invented_name",
    ],
)
def test_an_invented_name_is_missing(name: str) -> None:
    words, paths = _read_sources()
    assert _list_missing_names(f"see `{name}` there", words, paths) != []
    assert _list_missing_names("see `core/owners/_owned_target.py`", words, paths) == []
    assert _list_missing_names("see `CoreOptions`, `list_counters()`", words, paths) == []
