"""Settings of a gateway instance, as an adapter reads them from its platform."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

Address = tuple[str, int]


class SettingsInvalid(Exception):
    """Settings that cannot be used; the message says what is wrong with them."""


class GatewaySettings(msgspec.Struct, frozen=True):
    """Who the instance is, where it listens, and the bounds of its deployment.

    Times are seconds. `seeds` are peer addresses of some instances, perhaps stale.
    """

    instance: str
    zone: str
    callers: Address
    ready: Address
    store: Address
    # Where this instance listens for others; None where the deployment gives no such address.
    peers: Address | None = None
    # Where the others reach it if not there: behind a port mapping, or a proxy.
    advertised: Address | None = None
    metrics: Address | None = None
    seeds: tuple[Address, ...] = ()
    # No target is to hold more than this many times the mean of its service.
    load_factor: float = 2.0
    # A cold target bears its rate times `cold_overshoot` plus `cold_slack` requests in a second.
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    # Second sends to a service within `retry_window`: this share of its requests plus the slack.
    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    retry_window: float = 10.0
    # Within this time after a zone was taken out nothing more may be sent to its targets.
    evacuation_grace: float = 0.0
    # For so long a target goes on serving after its registration went, and no longer may it get
    # new work.
    drain_time: float = 2.0
    # Within this time an accepted configuration is in force.
    config_time: float = 2.0
    # How often targets write their registrations.
    heartbeat: float = 1.2
    # From the signal to stop until the process is killed.
    stop_grace: float = 8.0
    max_descriptors: int = 1_024
    # What the machine has, in Mbit/s and in processor seconds a second; 0: not told.
    link: float = 0.0
    cores: float = 0.0
    # Beyond this many bytes the process is killed.
    memory: int = 256 * 1024 * 1024

    @property
    def reached_at(self) -> Address | None:
        """Where other instances reach this one."""
        return self.advertised or self.peers


# Reads the settings anew or raises `SettingsInvalid`.
SettingsReader = Callable[[], GatewaySettings]
