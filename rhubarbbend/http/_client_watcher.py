"""Watches a client while its request runs: it may leave, or send its next requests early."""

from __future__ import annotations

from collections.abc import Callable

from rhubarbbend.http._client_connection import ClientConnection
from rhubarbbend.http._exchange import Exchange
from rhubarbbend.http._rejection import READ_SIZE_BYTES

# Counts the bytes that were sent early; returns whether there is memory for them.
HoldEarly = Callable[[int], bool]


async def watch_client(exchange: Exchange, client: ClientConnection, hold_early: HoldEarly) -> None:
    """Detect a client that disconnects while its request runs; buffer data that it sends early.

    A client that sends more than `READ_SIZE_BYTES` early, or more than there is memory for, is
    disconnected: its connection cannot be left unread, since its end would not be seen.
    """
    while True:
        try:
            data = await client.reader.read(READ_SIZE_BYTES)
        except OSError:
            # The client has reset its connection.
            data = b""
        if not data:
            exchange.mark_closed()
            return
        client.conn.receive_data(data)
        early = client.buffered
        if early > READ_SIZE_BYTES or not hold_early(early):
            exchange.abort()
            return
