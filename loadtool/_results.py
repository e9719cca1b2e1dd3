"""The typed result of a measuring run, as it is written to a JSON file."""

from __future__ import annotations

from pathlib import Path

import msgspec


class Quantiles(msgspec.Struct):
    """Quantiles of a time in milliseconds."""

    count: int = 0
    p50: float = 0.0
    p95: float = 0.0
    p99: float = 0.0


class PhaseResult(msgspec.Struct):
    """What was measured in one phase. Skew is the most loaded engine over the mean."""

    name: str
    seconds: float = 0.0
    requests: int = 0
    served: int = 0
    served_late: int = 0
    reuse: float = 0.0
    reuse_bound: float = 0.0
    skew_p50: float = 0.0
    skew_p95: float = 0.0
    skew_max: float = 0.0
    # Share of samples in which an engine had more than the set multiple allows, and by how much.
    over_share: float = 0.0
    over_most: int = 0
    first_byte: Quantiles = msgspec.field(default_factory=Quantiles)
    gap: Quantiles = msgspec.field(default_factory=Quantiles)

    @property
    def reuse_ratio(self) -> float:
        """Reuse over its upper bound."""
        return self.reuse / self.reuse_bound if self.reuse_bound else 0.0

    @property
    def served_share(self) -> float:
        """Share of requests with a whole, right answer."""
        return self.served / self.requests if self.requests else 0.0


class ControlResult(msgspec.Struct):
    """Control cost of one instance: bytes a second by kind, share of a core."""

    bytes_per_second: dict[str, float] = {}
    core_share: float = 0.0
    core_share_most: float = 0.0

    @property
    def total_bytes(self) -> float:
        """Bytes a second of every kind."""
        return sum(self.bytes_per_second.values())


class ZoneResult(msgspec.Struct):
    """Service while a zone left and came back; times in seconds."""

    zone: str = ""
    lowest_share: float = 1.0
    dip_seconds: float = 0.0
    last_new_work: float = 0.0
    first_work_back: float = 0.0
    lost: int = 0


class Series(msgspec.Struct):
    """Figures by time since the start of the load, for the plots."""

    at: list[float] = []
    reuse: list[float] = []
    skew: list[float] = []
    served_share: list[float] = []
    first_byte_ms: list[float] = []


class RunResult(msgspec.Struct):
    """Everything that one run measured."""

    deployment: str
    policy: str
    seed: int
    seconds: float
    time_scale: float
    requests: int = 0
    wrong: int = 0
    run_twice: int = 0
    phases: list[PhaseResult] = []
    idle: ControlResult = msgspec.field(default_factory=ControlResult)
    busy: ControlResult = msgspec.field(default_factory=ControlResult)
    zone: ZoneResult = msgspec.field(default_factory=ZoneResult)
    fleet_first: Quantiles = msgspec.field(default_factory=Quantiles)
    direct_first: Quantiles = msgspec.field(default_factory=Quantiles)
    fleet_gap: Quantiles = msgspec.field(default_factory=Quantiles)
    direct_gap: Quantiles = msgspec.field(default_factory=Quantiles)
    failures: dict[str, int] = {}
    counters: dict[str, int] = {}
    series: Series = msgspec.field(default_factory=Series)

    def find_phase(self, name: str) -> PhaseResult:
        """Find a phase by its name."""
        return next(phase for phase in self.phases if phase.name == name)


def write_result(result: RunResult, path: Path) -> None:
    """Write a result as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))


def read_results(path: Path) -> list[RunResult]:
    """Read one result, or every result of a folder."""
    files = sorted(path.rglob("*.json")) if path.is_dir() else [path]
    return [msgspec.json.decode(file.read_bytes(), type=RunResult) for file in files]
