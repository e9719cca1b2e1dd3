"""Test that the core does no I/O: its modules import nothing that would let them do any."""

from __future__ import annotations

import ast
from pathlib import Path

import pytest

import rhubarbbend.core

CORE = Path(rhubarbbend.core.__file__).parent
FORBIDDEN = {"asyncio", "socket", "time", "datetime", "os", "threading", "subprocess", "secrets"}


@pytest.mark.parametrize("path", sorted(CORE.rglob("*.py")), ids=lambda p: p.stem)
def test_imports_no_io_clock_or_global_random(path: Path) -> None:
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            names = {alias.name.partition(".")[0] for alias in node.names}
            assert "random" not in names, "import random.Random, which is passed in"
        elif isinstance(node, ast.ImportFrom):
            names = {(node.module or "").partition(".")[0]}
            if node.module == "random":
                assert [alias.name for alias in node.names] == ["Random"]
        else:
            continue
        assert not names & FORBIDDEN, f"{path.name} imports {names & FORBIDDEN}"
