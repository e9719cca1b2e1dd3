"""Which client connections wait for their clients, and which one is ended if there are too many.

Load handled here: clients that keep more connections open than a server may have, without sending
a request or in the middle of one.
"""

from __future__ import annotations

import enum
from typing import Final

from rhubarbbend.http._client_connection import ClientConnection

# A request that has been arriving for this long may be given up; usual ones arrive at once.
SLOW_REQUEST_S: Final = 1.0


class Wait(enum.Enum):
    """What a connection waits for, in the order in which connections are ended."""

    DISCARD = "what follows a rejected request"
    REQUEST = "the rest of a request"
    FIRST_REQUEST = "a first request"
    NEXT_REQUEST = "another request"


class ConnectionTable:
    """Connections that wait for their clients, by what they wait for and in the order of the waits.

    Invariant: a connection is in one of the queues at most, and in none once it is being ended for
    a new one; `ending` counts these until they have ended.
    """

    def __init__(self) -> None:
        self._queues: dict[Wait, dict[ClientConnection, float]] = {wait: {} for wait in Wait}
        self._waits: dict[ClientConnection, Wait] = {}
        self._ending: set[ClientConnection] = set()

    @property
    def ending(self) -> int:
        """Return how many connections are being ended for new ones."""
        return len(self._ending)

    def record_wait(self, client: ClientConnection, wait: Wait, now: float) -> None:
        """Record that a connection begins to wait."""
        self.record_progress(client)
        if client not in self._ending:
            self._waits[client] = wait
            self._queues[wait][client] = now

    def record_progress(self, client: ClientConnection) -> None:
        """Record that a connection does not wait any more."""
        wait = self._waits.pop(client, None)
        if wait is not None:
            del self._queues[wait][client]

    def record_end(self, client: ClientConnection) -> bool:
        """Forget a connection that has ended; return whether it was ended for a new one."""
        self.record_progress(client)
        if client not in self._ending:
            return False
        self._ending.remove(client)
        return True

    def end_one(self, now: float) -> bool:
        """End the connection whose loss costs least; return False if none may be ended.

        Its client gets no response: in the middle of a request it promises nothing, and the
        descriptor is free in the next iteration of the event loop.
        """
        for wait, queue in self._queues.items():
            client = next(iter(queue), None)
            if client is None:
                continue
            if wait is Wait.REQUEST and now - queue[client] < SLOW_REQUEST_S:
                continue
            self.record_progress(client)
            self._ending.add(client)
            client.writer.transport.abort()
            return True
        return False
