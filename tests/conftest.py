"""Makes every run honour KNOWN-RED.txt, and collects garbage after each test."""

from __future__ import annotations

import gc

import pytest

from tools.known_red import register


def pytest_configure(config: pytest.Config) -> None:
    register(config)


@pytest.hookimpl(trylast=True)
def pytest_runtest_teardown() -> None:
    """Collect what a test leaves behind before the next one begins.

    A stream that is left open reports an error as it is collected, and the report parses source
    code. If that happens while a later test parses some, Python 3.11 raises `SystemError` there.
    """
    gc.collect()
