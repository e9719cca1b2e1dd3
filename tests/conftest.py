"""Makes every run honour KNOWN-RED.txt."""

from __future__ import annotations

import pytest

from tools.known_red import register


def pytest_configure(config: pytest.Config) -> None:
    register(config)
