"""Takes callers' connections while a program is still being loaded.

Imports nothing that takes time: the programs call it before they load themselves.
"""

from __future__ import annotations

import socket
from typing import Final

# Connections that may lie in the queue until the program reads them.
BACKLOG: Final = 1024


def open_early(host: str, port: int) -> socket.socket | None:
    """Listen on an address before anything can be answered; None if that fails.

    Loading takes a quarter of a second, and more on a slow machine. After a loss of power every
    instance is loading, and a caller that meets a port without a listener is refused everywhere.
    With a listener its connection is there when the program is, which is sooner than a new try.
    The program listens itself if this fails, and reports why it cannot.
    """
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
        listener.listen(BACKLOG)
    except OSError:
        listener.close()
        return None
    return listener
