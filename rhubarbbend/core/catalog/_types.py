"""What a configuration declares: routes, services, client accounts and limits of callers.

All times are seconds.
"""

from __future__ import annotations

import enum

import msgspec


class RequestKind(enum.Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """The part of a route's requests that one service gets; weights are relative."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Where requests go whose host is `host` and whose path begins with `prefix`.

    `timeout` is the longest time that a caller is kept waiting, `objective` the time to an answer
    (of a stream: to its first event) that counts as good, `pause_objective` the longest good
    pause between events. `priority` 0 goes first. `max_attempts` is the number of targets that
    one request may be sent to.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    objective: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_attempts: int
    public: bool = False
    resumable: bool = False
    pause_objective: float = 0.0

    def choose_service(self, point: float) -> str:
        """Choose a service by weight for a point from 0 to 1; empty if none has any weight."""
        rest = point * sum(share.weight for share in self.shares)
        chosen = ""
        for share in self.shares:
            if share.weight <= 0:
                continue
            chosen = share.service
            rest -= share.weight
            if rest < 0:
                break
        return chosen

    @property
    def idempotent(self) -> bool:
        """Whether a request that may have run can be sent once more."""
        return self.kind is RequestKind.SAFE or (self.kind is RequestKind.STREAM and self.resumable)


class Engine(msgspec.Struct, frozen=True):
    """The model engines of a service: requests in a batch, tokens in memory, bytes a token."""

    slots: int
    memory_tokens: int
    token_bytes: int


class Service(msgspec.Struct, frozen=True):
    """A service. A target of it that is cold bears `cold_rate` requests a second; 0: no limit."""

    name: str
    max_connections: int
    cold_seconds: float
    cold_rate: float
    engine: Engine | None = None


class ClientAccount(msgspec.Struct, frozen=True):
    """Who sends requests, known by keys; a priority of its own goes before the route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class TrafficLimits(msgspec.Struct, frozen=True):
    """Bounds on what a caller may send, and on the time it may take or idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float
