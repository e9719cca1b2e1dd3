"""Tests of the time-out that lets received input be processed before it expires."""

from __future__ import annotations

import asyncio

import pytest

from rhubarbbend.http import InputTimeout


async def wait_with(timeout: InputTimeout) -> None:
    async with timeout:
        await asyncio.sleep(5.0)


# Guards against waits that never end, since a time-out that has passed is not handled.
@pytest.mark.parametrize("after_s", [-1.0, 0.0, 0.05])
def test_it_expires(after_s: float) -> None:
    async def work() -> None:
        timeout = InputTimeout(asyncio.get_running_loop().time() + after_s)
        with pytest.raises(TimeoutError):
            await wait_with(timeout)
        assert timeout.expired()

    asyncio.run(work())


# Guards against a call that is cut although its time-out was lifted at the last moment, and against
# an error of the loop when a time-out that has expired is changed.
def test_a_time_out_can_be_changed_until_it_expires() -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        async with InputTimeout(loop.time()) as lifted:
            for _ in range(3):
                await asyncio.sleep(0)
            lifted.reschedule(None)
            await asyncio.sleep(0.05)
        assert not lifted.expired()
        errors: list[object] = []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        timeout = InputTimeout(None)
        loop.call_later(0.02, timeout.reschedule, loop.time())
        with pytest.raises(TimeoutError):
            await wait_with(timeout)
        timeout.reschedule(loop.time())
        await asyncio.sleep(0.05)
        assert errors == []

    asyncio.run(work())
