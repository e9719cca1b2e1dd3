"""Settings of a gateway instance, as an adapter reads them from its platform."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

Address = tuple[str, int]


class SettingsInvalid(Exception):
    """Raised for settings that cannot be used; the message says what is wrong with them."""


class GatewaySettings(msgspec.Struct, frozen=True):
    """The instance's identity, the addresses on which it listens, and its deployment's limits.

    Times are in seconds. `seeds` are the addresses of some other instances, which may be outdated.
    """

    instance: str
    zone: str
    callers: Address
    ready: Address
    store: Address
    # Where this instance listens for other instances; None if the deployment gives no such address.
    peers: Address | None = None
    # Where the others reach it if that is another address: behind a port mapping or a proxy.
    advertised: Address | None = None
    metrics: Address | None = None
    seeds: tuple[Address, ...] = ()
    # No target may have more than this many times the mean load of its service.
    load_factor: float = 2.0
    # A cold target may get its rate times `cold_overshoot` plus `cold_slack` requests per second.
    cold_overshoot: float = 1.0
    cold_slack: float = 0.0
    # Retries to a service within `retry_window`: this fraction of its requests plus the slack.
    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    retry_window: float = 10.0
    # This long after a zone was taken out of service, nothing may be sent to its targets any more.
    evacuation_grace: float = 0.0
    # How long a target keeps serving after its registration was removed. After that it may get no
    # new requests.
    drain_time: float = 2.0
    # Time within which an accepted configuration must be in force.
    config_time: float = 2.0
    # Of all requests to a service while a version is rolled out, that version may get this share
    # plus the slack, if it turns out to be bad.
    has_rollouts: bool = False
    exposure_share: float = 0.1
    exposure_slack: float = 0.0
    # Interval at which targets write their registrations.
    heartbeat: float = 1.2
    # Time from the stop signal until the process is killed.
    stop_grace: float = 8.0
    max_descriptors: int = 1_024
    # The machine's bandwidth in Mbit/s, and its processor seconds per second; 0 if unknown.
    link: float = 0.0
    cores: float = 0.0
    # Whether requests for which a service has no room wait here or are refused.
    admission_control: bool = False
    # Whether the whole system starts for the first time.
    is_first_start: bool = False
    # The process is killed if it uses more than this many bytes.
    memory: int = 256 * 1024 * 1024

    @property
    def peer_address(self) -> Address | None:
        """The address at which other instances reach this one; None if there is none."""
        return self.advertised or self.peers


# Reads the settings again, or raises `SettingsInvalid`.
SettingsReader = Callable[[], GatewaySettings]
