"""Tunnels: connections to a target that pass through another instance.

The connection to the other instance begins like any connection between instances, with the fleet's
hello and a signed frame; from the reply on it carries what the target and this instance send.
"""

from __future__ import annotations

import asyncio
from typing import Final

from rhubarbbend.core.messages import TunnelRequest
from rhubarbbend.http import (
    CONNECT_ERRORS,
    REASON_TIMEOUT,
    ClientProtocol,
    Connection,
    HttpFailure,
    InputTimeout,
    SendStage,
    reset_connection,
    set_keepalive,
)
from rhubarbbend.peers._codec import FrameAuthenticator, encode_frame
from rhubarbbend.peers._links import make_hello

ACCEPTED: Final = b"\1"
DECLINED: Final = b"\0"
READ_SIZE_BYTES: Final = 65_536
# The end that connects to the target gives up before the end that waits for its reply.
TARGET_CONNECT_TIMEOUT_S: Final = 0.3

Address = tuple[str, int]


class TunnelDeclined(Exception):
    """The other instance does not reach the target, or serves no tunnel to it."""


class TunnelOpener:
    """Opens tunnels through other instances."""

    def __init__(self, own_id: str, secret: bytes) -> None:
        self._own_id = own_id
        self._hello = make_hello(secret)
        self._authenticator = FrameAuthenticator(secret)

    async def open(
        self, helper: Address, target: str, address: Address, timeout: float
    ) -> Connection:
        """Return a connection to a target, known here by `address`, through the one at `helper`.

        The target is named by its id, since the helper may reach it at another address. Raise
        `TunnelDeclined` if the helper cannot connect to the target, `HttpFailure` if it does not
        reply within `timeout` seconds.
        """
        loop = asyncio.get_running_loop()
        protocol: ClientProtocol | None = None
        reply = b""
        try:
            async with InputTimeout(loop.time() + timeout):
                _, protocol = await loop.create_connection(ClientProtocol, *helper)
                request = TunnelRequest(target=target)
                frame = self._authenticator.sign(encode_frame(self._own_id, request))
                protocol.transport.write(self._hello + frame)
                reply = await protocol.read()
        except TimeoutError as error:
            raise HttpFailure(SendStage.CONNECT, REASON_TIMEOUT) from error
        except CONNECT_ERRORS as error:
            raise HttpFailure(SendStage.CONNECT, str(error)) from error
        finally:
            if protocol is not None and reply != ACCEPTED:
                protocol.transport.abort()
        if reply != ACCEPTED:
            raise TunnelDeclined
        connection = Connection(address, protocol)
        # The next request takes the direct path if that works again.
        connection.is_reusable = False
        return connection


async def serve_tunnel(
    target: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> bool:
    """Connect to a target and pass on bytes until one end closes; return whether it was reached."""
    try:
        async with InputTimeout(asyncio.get_running_loop().time() + TARGET_CONNECT_TIMEOUT_S):
            target_reader, target_writer = await asyncio.open_connection(*target)
    except CONNECT_ERRORS:
        await decline_tunnel(writer)
        return False
    for end in (writer, target_writer):
        set_keepalive(end.get_extra_info("socket"))
    writer.write(ACCEPTED)
    to_target = asyncio.create_task(_pass_on(reader, target_writer))
    to_sender = asyncio.create_task(_pass_on(target_reader, writer))
    try:
        await asyncio.wait((to_target, to_sender), return_when=asyncio.FIRST_COMPLETED)
        if to_sender.done() and to_sender.exception() is None:
            # The target has closed its end after its response.
            writer.close()
            await writer.wait_closed()
    except OSError:
        pass
    finally:
        for task in (to_target, to_sender):
            task.cancel()
        await asyncio.gather(to_target, to_sender, return_exceptions=True)
        # A target sees that the sender has gone, and the sender that a response is incomplete even
        # if it has no length.
        reset_connection(target_writer.transport)
        reset_connection(writer.transport)
    return True


async def decline_tunnel(writer: asyncio.StreamWriter) -> None:
    """Reply that no tunnel is served."""
    writer.write(DECLINED)
    await writer.drain()


async def _pass_on(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(READ_SIZE_BYTES):
        writer.write(data)
        await writer.drain()
