"""Addresses that cannot be listened on at once."""

from __future__ import annotations

import asyncio
import os
import resource
from collections.abc import Iterator
from contextlib import contextmanager

import pytest

from rhubarbbend.http import HttpServer
from rhubarbbend.listening import start_listening
from rhubarbbend.peers import PeerListener

HOST = "127.0.0.1"


@contextmanager
def no_descriptors() -> Iterator[None]:
    """Let no further file or socket be opened."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    first_free = os.open(os.devnull, os.O_RDONLY)
    os.close(first_free)
    resource.setrlimit(resource.RLIMIT_NOFILE, (first_free, before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)


async def ignore(*_: object) -> None:
    pass


def make_servers() -> list[HttpServer | PeerListener]:
    return [HttpServer(ignore), PeerListener(b"secret", lambda *_: None, lambda: None, ignore)]


# Guards against an instance that ends with IndexError as it starts without a free descriptor:
# asyncio then returns a server without a socket.
@pytest.mark.parametrize("number", [0, 1])
def test_address_is_tried_again_if_no_socket_could_be_opened(number: int) -> None:
    async def work() -> None:
        server = make_servers()[number]
        failures: list[OSError] = []
        tasks: list[asyncio.Task[None]] = []
        is_listening = asyncio.Event()
        with no_descriptors():
            await start_listening(
                lambda: server.listen(HOST, 0),
                lambda work: tasks.append(asyncio.create_task(work)),
                failures.append,
                is_listening.set,
            )
        assert len(failures) == 1 and not is_listening.is_set()
        await asyncio.wait_for(is_listening.wait(), 5.0)
        await server.close()

    asyncio.run(work())
