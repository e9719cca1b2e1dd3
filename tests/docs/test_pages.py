"""The pages name what exists, all of it: counters, errors, settings, commands, exit statuses."""

from __future__ import annotations

import argparse
import re

import attrs
import pytest

from loadtool._processes import ROOT
from rhubarbbend import codes
from rhubarbbend.cli import ExitStatus
from rhubarbbend.cli._options import make_parser
from rhubarbbend.core import CoreOptions
from rhubarbbend.settings import Settings

DOCS = ROOT / "docs"
PAGES = sorted([*DOCS.glob("*.md"), ROOT / "README.md"])
COMMAND = re.compile(r"(?:^|`)\s*rhubarbbend ([a-z][a-z-]*)", re.MULTILINE)
MAKE = re.compile(r"(?:^|`)\s*make ([a-z]+)", re.MULTILINE)
MODULE = re.compile(r"python -m ((?:tools|loadtool|standins)[a-z_.]*)")
LINK = re.compile(r"`((?:rhubarbbend|loadtool|standins|tools|tests|docs|examples)/[\w./-]+)`")


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
    targets = re.findall(r"^([a-z]+):", (ROOT / "Makefile").read_text("utf-8"), re.MULTILINE)
    assert set(MAKE.findall(text)) <= set(targets)
    for module in MODULE.findall(text):
        path = ROOT / module.replace(".", "/")
        assert path.is_dir() or path.with_suffix(".py").exists(), module
    missing = [path for path in LINK.findall(text) if not (ROOT / path).exists()]
    assert missing == []
