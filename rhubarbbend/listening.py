"""Listens on addresses, also on one that may be taken for a while as the process starts.

After a loss of power the process of before may not be gone yet, and the port of an address that is
not listened on may be in use for another process's outgoing connection. A process that ended for
that would not be there when the address is free.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from socket import socket
from typing import Any, Final

# How often an address that is taken is tried again.
RETRY_INTERVAL_S: Final = 0.25
# Maximum number of connections that the kernel queues until they are accepted.
LISTEN_BACKLOG: Final = 1024
# Maximum number of connections accepted in one iteration of the event loop. One over the limit on
# connections is closed only some iterations later, and is an open file until then.
ACCEPT_BATCH: Final = 32

Listen = Callable[[], Awaitable[object]]
Spawn = Callable[[Coroutine[Any, Any, None]], object]
# Called once for an address, with the error of the first attempt.
ReportFailure = Callable[[OSError], None]
MakeProtocol = Callable[[], asyncio.BaseProtocol]


async def open_server(make_protocol: MakeProtocol, host: str, port: int) -> asyncio.Server:
    """Start to accept connections on an address."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(make_protocol, host, port, backlog=ACCEPT_BATCH)
    for listener in server.sockets:
        _restore_backlog(listener.dup())
    return server


async def serve_listener(make_protocol: MakeProtocol, listener: socket) -> asyncio.Server:
    """Start to accept connections on a socket that is already listening."""
    loop = asyncio.get_running_loop()
    # Runs before the loop accepts anything, since connections may be waiting already.
    loop.call_soon(_restore_backlog, listener.dup())
    return await loop.create_server(make_protocol, sock=listener, backlog=ACCEPT_BATCH)


def _restore_backlog(listener: socket) -> None:
    """Set the length of a listening socket's queue, and close this reference to the socket.

    asyncio takes one number for the queue and for what it accepts in one iteration.
    """
    with listener:
        listener.listen(LISTEN_BACKLOG)


def find_port(server: asyncio.Server) -> int:
    """Return the port of a server that has been started.

    Raise OSError if it has none: asyncio goes on without a socket if none could be opened, as for
    want of descriptors.
    """
    if not server.sockets:
        raise OSError("no socket could be opened")
    return int(server.sockets[0].getsockname()[1])


async def start_listening(
    listen: Listen,
    spawn: Spawn,
    report_failure: ReportFailure,
    handle_listening: Callable[[], None] = lambda: None,
) -> None:
    """Listen on an address; if that fails, return and have it tried again until it succeeds.

    `handle_listening` is called as soon as it has succeeded.
    """
    try:
        await listen()
    except OSError as error:
        report_failure(error)
        spawn(_retry(listen, handle_listening))
    else:
        handle_listening()


async def _retry(listen: Listen, handle_listening: Callable[[], None]) -> None:
    while True:
        await asyncio.sleep(RETRY_INTERVAL_S)
        try:
            await listen()
        except OSError:
            continue
        handle_listening()
        return
