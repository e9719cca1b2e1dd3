"""Observes how much of what was written to a connection its peer has not acknowledged yet."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
from typing import Final

# The request for the number of bytes in a socket's send queue that the peer has not acknowledged
# (Linux).
SIOCOUTQ: Final = 0x5411
# TCP_NOTSENT_LOWAT, which the standard library does not name: the kernel accepts more data only
# while it has less than this to send. Without it, the kernel buffers megabytes for a client that
# reads nothing, and the progress of a slow client shows only in large steps.
TCP_NOTSENT_LOWAT: Final = 25
MAX_KERNEL_UNSENT_BYTES: Final = 16_384


def limit_kernel_buffer(sock: socket.socket | None) -> None:
    """Limit the data that the kernel takes from this process before it can be sent."""
    if sock is not None:
        # Not every system and kind of socket has the option.
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, MAX_KERNEL_UNSENT_BYTES)


def count_unacknowledged(transport: asyncio.WriteTransport) -> int:
    """Return how many written bytes the peer has not acknowledged, as far as that is known."""
    return transport.get_write_buffer_size() + _count_in_kernel(transport)


def _count_in_kernel(transport: asyncio.WriteTransport) -> int:
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return 0
    try:
        answer = fcntl.ioctl(sock.fileno(), SIOCOUTQ, struct.pack("i", 0))
    except (OSError, ValueError):
        return 0
    return int(struct.unpack("i", answer)[0])


class SendProgress:
    """Tells for how long a peer has acknowledged nothing of what was already written to it.

    `progressed_at` is the time of its last progress, at first that at which watching began.
    """

    __slots__ = ("progressed_at", "_transport", "_unacknowledged")

    def __init__(self, transport: asyncio.WriteTransport, now: float) -> None:
        self.progressed_at = now
        self._transport = transport
        self._unacknowledged = count_unacknowledged(transport)

    def compute_stall(self, now: float) -> float:
        """Return for how many seconds there has been no progress.

        Data that is written meanwhile hides progress of the same size.
        """
        unacknowledged = count_unacknowledged(self._transport)
        if unacknowledged < self._unacknowledged:
            self.progressed_at = now
        self._unacknowledged = unacknowledged
        return now - self.progressed_at
