"""Types of the configuration: routes, services, client accounts and limits of callers.

All times are in seconds.
"""

from __future__ import annotations

import enum

import msgspec


class RequestKind(enum.Enum):
    """The kind of a route's requests, which decides whether they may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class ServiceShare(msgspec.Struct, frozen=True):
    """The share of a route's requests that one service gets; weights are relative."""

    service: str
    weight: int


class Route(msgspec.Struct, frozen=True):
    """Where requests are sent whose host is `host` and whose path starts with `prefix`.

    `timeout` is the longest time that a caller is kept waiting, `objective` the latency objective
    of an answer (of a stream: of its first event), `pause_objective` that of a pause between
    events. `priority` 0 is the highest. `max_attempts` is the maximum number of targets that one
    request may be sent to.
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
        """Return a service selected by weight; `point`, from 0 to 1, decides which.

        Return an empty string if no service has a positive weight.
        """
        remaining = point * sum(share.weight for share in self.shares)
        chosen = ""
        for share in self.shares:
            if share.weight <= 0:
                continue
            chosen = share.service
            remaining -= share.weight
            if remaining < 0:
                break
        return chosen

    @property
    def idempotent(self) -> bool:
        """Whether a request that may have run can be sent again."""
        return self.kind is RequestKind.SAFE or (self.kind is RequestKind.STREAM and self.resumable)


class Engine(msgspec.Struct, frozen=True):
    """The capacity of each model engine of a service.

    `slots` is the number of requests in a batch, `memory_tokens` the number of tokens that fit into
    memory, `token_bytes` the size of a token there.
    """

    slots: int
    memory_tokens: int
    token_bytes: int


class Service(msgspec.Struct, frozen=True):
    """A service, provided by its targets.

    A cold start of a target takes `cold_seconds`. A cold target can bear `cold_rate` requests a
    second; 0 means no limit. `health_path` is the path of a target's health check.
    """

    name: str
    max_connections: int
    cold_seconds: float
    cold_rate: float
    engine: Engine | None = None
    health_path: str = "/health"


class ClientAccount(msgspec.Struct, frozen=True):
    """A client account, identified by its keys; its priority, if set, overrides the route's."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


class TrafficLimits(msgspec.Struct, frozen=True):
    """Limits on the size of a caller's requests and on the time to send them or stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout: float
    idle_timeout: float
