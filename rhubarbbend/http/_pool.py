"""A pool of idle client connections, and `fetch`, which sends one small request over it."""

from __future__ import annotations

import abc
import asyncio
from collections import deque
from collections.abc import Callable
from typing import Final

import msgspec

from rhubarbbend.http._connection import (
    DEFAULT_CONNECT_TIMEOUT_S,
    Address,
    Connection,
    Response,
)
from rhubarbbend.http._failures import REASON_TIMEOUT, EndlessAnswer, HttpFailure, SendStage
from rhubarbbend.http._input_timeout import InputTimeout
from rhubarbbend.http._receive_limits import (
    MAX_FETCHED_BYTES,
    SMALL_BODY_PART_BYTES,
    TrickleDetector,
)

# How long the idle limit learned from a dead connection applies to its address: long enough that
# requests seldom meet a dead connection, short enough that connections are reused again soon after
# the fault is over.
IDLE_LIMIT_LIFETIME_S: Final = 20.0
# The learned idle limit as a share of the idle time of the dead connection.
IDLE_LIMIT_FRACTION: Final = 0.5


class _IdleLimit(msgspec.Struct, frozen=True):
    """Until `until`, connections that were idle for `seconds` or longer are not used."""

    seconds: float
    until: float


class ConnectionOpener(abc.ABC):
    """Opens the connections of a pool."""

    @abc.abstractmethod
    async def open(self, address: Address, timeout: float) -> Connection:
        """Connect within `timeout` seconds or raise `HttpFailure` at stage CONNECT."""


class DirectOpener(ConnectionOpener):
    """Connects to the address itself."""

    async def open(self, address: Address, timeout: float) -> Connection:
        """Connect to the address."""
        return await Connection.open(address, timeout)


class ConnectionPool:
    """Idle connections by address. Invariant: none idle for over `max_idle` seconds is reused.

    `max_idle` should be short: a connection can stop delivering data for good while new ones still
    work, and the shorter it is idle, the less likely a request is the first to find out.
    """

    def __init__(
        self, max_idle: float, max_per_address: int = 64, opener: ConnectionOpener | None = None
    ) -> None:
        self._opener = opener or DirectOpener()
        self._max_idle = max_idle
        self._max_per_address = max_per_address
        self._idle: dict[Address, deque[Connection]] = {}
        self._idle_limits: dict[Address, _IdleLimit] = {}
        # Called when an idle connection is closed because its peer sent data on it.
        self.on_stray_bytes: Callable[[], None] = lambda: None
        # Bytes sent and received by `fetch`: load reports, probes and platform calls.
        self.fetch_traffic = 0

    async def acquire(
        self,
        address: Address,
        now: float,
        new_connection: bool,
        timeout: float = DEFAULT_CONNECT_TIMEOUT_S,
        max_idle: float | None = None,
        max_idle_count: int | None = None,
    ) -> Connection:
        """Return an idle connection, or a new one if `new_connection` is set or none is usable.

        With `max_idle`, use only a connection that was idle for at most that many seconds; the
        others stay in the pool for other requests, `max_idle_count` of them if a new one is opened.
        `now` is in the event loop's time. Raise `HttpFailure` if a new connection is not
        established within `timeout` seconds.
        """
        idle = self._idle.get(address)
        while idle and not new_connection:
            if max_idle is not None and now - idle[-1].idle_since > max_idle:
                break
            connection = idle.pop()
            connection.end_idle()
            if self._is_usable(connection, now):
                connection.reused = True
                connection.idle_time_s = now - connection.idle_since
                return connection
            connection.close()
        while idle and max_idle_count is not None and len(idle) > max_idle_count:
            idle.popleft().close()
        return await self._opener.open(address, timeout)

    def _is_usable(self, connection: Connection, now: float) -> bool:
        idle_time = now - connection.idle_since
        limit = connection.idle_timeout_s
        if idle_time > self._max_idle or (limit is not None and idle_time > limit):
            return False
        if not self.is_idle_time_safe(connection.address, idle_time, now):
            return False
        return not connection.closed and not connection.has_stray_bytes

    def is_idle_time_safe(self, address: Address, idle_time: float, now: float) -> bool:
        """Return whether a connection to `address` idle for `idle_time` seconds probably works."""
        limit = self._idle_limits.get(address)
        return limit is None or now >= limit.until or idle_time < limit.seconds

    def record_dead_idle(self, address: Address, idle_time: float, now: float) -> None:
        """Record that a connection to `address` was dead after `idle_time` seconds idle.

        The peer, or a middlebox, drops idle connections earlier than it states, and every request
        on such a connection would fail. How much earlier is unknown; halving the idle time on each
        dead connection finds a safe limit within a few requests.
        """
        if self.is_idle_time_safe(address, idle_time, now):
            self._idle_limits[address] = _IdleLimit(
                IDLE_LIMIT_FRACTION * idle_time, now + IDLE_LIMIT_LIFETIME_S
            )

    def has_open_idle(self, address: Address) -> bool:
        """Return whether an idle connection to `address` has not been closed by the peer."""
        return any(not connection.closed for connection in self._idle.get(address, ()))

    def close_all_idle(self) -> None:
        """Close every idle connection.

        Used after this process was suspended: the connections may have died meanwhile.
        """
        for address in list(self._idle):
            self.close_idle_to(address)

    def release(self, connection: Connection, now: float) -> None:
        """Return a connection to the pool; close it if it cannot be reused or the pool is full."""
        idle = self._idle.get(connection.address, ())
        if len(idle) < self._max_per_address and connection.make_reusable():
            connection.idle_since = now
            self.add_idle(connection)
        else:
            connection.close()

    def add_idle(self, connection: Connection) -> None:
        """Add a reusable connection to the pool, idle since its `idle_since`."""
        connection.start_idle(self._handle_stray_bytes)
        self._idle.setdefault(connection.address, deque()).append(connection)

    def _handle_stray_bytes(self) -> None:
        self.on_stray_bytes()

    def close_expired(self, now: float) -> None:
        """Close connections that were idle too long or are closed, and expire learned limits."""
        for address in list(self._idle):
            idle = self._idle[address]
            while idle and (now - idle[0].idle_since > self._max_idle or idle[0].closed):
                idle.popleft().close()
            if not idle:
                del self._idle[address]
        for address in [a for a, limit in self._idle_limits.items() if now >= limit.until]:
            del self._idle_limits[address]

    def count_idle(self, address: Address, opened_before: float) -> int:
        """Return how many idle connections to an address are open that were opened earlier."""
        idle = self._idle.get(address, ())
        return sum(c.opened_at < opened_before and not c.closed for c in idle)

    def close_idle_longer(self, address: Address, max_idle: float, now: float) -> None:
        """Close the connections to an address that were idle for over `max_idle` seconds.

        Of those that a peer accepts from all its clients together, they are wanted least.
        """
        idle = self._idle.get(address)
        while idle and now - idle[0].idle_since > max_idle:
            idle.popleft().close()

    def close_idle_to(self, address: Address) -> None:
        """Close every idle connection to an address at which a fault was detected."""
        for connection in self._idle.pop(address, ()):
            connection.close()


async def fetch(
    pool: ConnectionPool,
    address: Address,
    method: str,
    target: str,
    now: float,
    body: bytes = b"",
    headers: list[tuple[str, str]] | None = None,
    timeout: float = 2.0,
    new_connection: bool = False,
    progress_timeout: float | None = None,
    max_body_bytes: int = MAX_FETCHED_BYTES,
) -> tuple[Response, bytes]:
    """Send one small request and return the head and the whole body of its response.

    The response must be complete within `timeout` seconds. With `progress_timeout`, only its head
    must arrive within `timeout`, and then each part of its body within `progress_timeout` seconds
    of the one before, which allows for a large response over a slow link. Raise `HttpFailure` on
    failure, also if the body is larger than `max_body_bytes` or arrives byte by byte.
    """
    connection = await pool.acquire(address, now, new_connection)
    traffic_before = connection.traffic
    try:
        deadline = asyncio.get_running_loop().time() + timeout
        async with InputTimeout(deadline) as total_timeout:
            await connection.send(method, target, headers or [], body)
            response = await connection.receive_head(timeout)
            if progress_timeout is not None:
                total_timeout.reschedule(None)
            data = await receive_whole_body(connection, progress_timeout or timeout, max_body_bytes)
    except TimeoutError as error:
        connection.close()
        raise HttpFailure(SendStage.SENT, REASON_TIMEOUT) from error
    except BaseException:
        connection.close()
        raise
    finally:
        pool.fetch_traffic += connection.traffic - traffic_before
    pool.release(connection, now)
    return response, data


async def receive_whole_body(
    connection: Connection, progress_timeout: float, max_bytes: int
) -> bytes:
    """Return the body of a response of which the head was read.

    Each part must arrive within `progress_timeout` seconds of the one before. Raise `HttpFailure`
    on failure, also if the body is larger than `max_bytes` or arrives byte by byte.
    """
    parts: list[bytes] = []
    size = 0
    trickle = TrickleDetector(SMALL_BODY_PART_BYTES)
    async for part in connection.receive_body(progress_timeout):
        size += len(part)
        now = asyncio.get_running_loop().time()
        if size > max_bytes or trickle.record(now, len(part), continues=bool(parts)):
            raise EndlessAnswer(SendStage.RESPONSE, "a body without end")
        parts.append(part)
    return b"".join(parts)
