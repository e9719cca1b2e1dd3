"""A start: callers that come while an instance is being loaded, or reads what is in force."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from tests.gateway.harness import Fleet, run, start_fleet

# An instance lets callers wait for its first configuration until so long after its start.
START_WAIT = 0.8


async def ask_at_first_connection(fleet: Fleet) -> int:
    """Ask over the first connection that an instance takes; gives the status."""
    while True:
        reply = await fleet.ask("/read/x", Deadline_Ms="3000")
        if reply.status:
            return reply.status
        await asyncio.sleep(0.002)


async def restart(fleet: Fleet) -> None:
    process = fleet.instances["front-0"].process
    assert process is not None
    await process.kill()
    await fleet.start_instance("front-0")


def test_a_caller_that_comes_while_the_program_loads_is_served(tmp_path: Path) -> None:
    """Every instance has lost power, and callers come as soon as one takes a connection.

    The program is still loading then, and after that it reads the configuration, which a slow
    store gives late. Refused, the caller would be refused by every other instance as well.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            await fleet.set_store(delay=0.2)
            await restart(fleet)
            assert await ask_at_first_connection(fleet) == 200

    run(work)


def test_a_caller_does_not_wait_for_a_configuration_that_does_not_come(tmp_path: Path) -> None:
    """The store is away and no other instance lives, so nobody can say what is in force.

    Callers of the first moments wait a part of their time and are refused; those that come later
    are refused at once.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            await fleet.set_store(silent=True)
            await restart(fleet)
            assert await ask_at_first_connection(fleet) == 503
            await asyncio.sleep(START_WAIT)
            asked = time.monotonic()
            assert await ask_at_first_connection(fleet) == 503
            assert time.monotonic() - asked < 0.1

    run(work)
