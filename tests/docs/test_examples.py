"""Every curl line of the interface page does what the page says, against a real fleet."""

from __future__ import annotations

import asyncio
import http.client
import re
import shlex
from pathlib import Path

import attrs

from loadtool._processes import ROOT
from tests.fleet.harness import run_with_timeout, start_fleet

PAGE = ROOT / "docs" / "INTERFACES.md"
EXPECTED = "# -> "


@attrs.define(slots=True)
class Example:
    """One curl line and the parts that its answer has to hold."""

    line: str
    expected: list[str] = attrs.Factory(list)


def _read_examples() -> list[Example]:
    examples: list[Example] = []
    for block in re.findall(r"```sh\n(.*?)```", PAGE.read_text("utf-8"), re.DOTALL):
        for line in block.splitlines():
            if line.startswith("curl "):
                examples.append(Example(line))
            else:
                assert line.startswith(EXPECTED), line
                examples[-1].expected.append(line.removeprefix(EXPECTED))
    return examples


def _run_curl(line: str, address: tuple[str, int]) -> str:
    """Do what curl does with the few options that the page uses; a machine may lack curl."""
    words = shlex.split(line)[1:]
    method, headers, body, path = "", {}, None, ""
    while words:
        word = words.pop(0)
        if word == "-X":
            method = words.pop(0)
        elif word == "-H":
            name, _, value = words.pop(0).partition(": ")
            headers[name] = value
        elif word == "-d":
            body = words.pop(0)
        elif word.startswith("$ENTRY"):
            path = word.removeprefix("$ENTRY")
        else:
            assert word == "-i", word
    connection = http.client.HTTPConnection(*address, timeout=10.0)
    connection.request(method or ("POST" if body else "GET"), path, body, headers)
    answer = connection.getresponse()
    shown = "".join(f"{name}: {value}\n" for name, value in answer.getheaders())
    text = f"{answer.status}\n{shown}\n{answer.read().decode()}"
    connection.close()
    return text


def test_every_example_answers_as_the_page_says(tmp_path: Path) -> None:
    examples = _read_examples()
    assert len(examples) > 8

    async def work() -> None:
        async with start_fleet(tmp_path, zones=1) as cluster:
            address = cluster.instances["entry-a1"].address
            for example in examples:
                shown = await asyncio.to_thread(_run_curl, example.line, address)
                status, *parts = example.expected
                assert shown.startswith(f"{status}\n"), (example.line, shown)
                for part in parts:
                    assert part.lower() in shown.lower(), (example.line, part, shown)

    run_with_timeout(work)
