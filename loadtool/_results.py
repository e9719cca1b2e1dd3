"""The result of a measured run and its JSON file."""

from __future__ import annotations

from pathlib import Path

import msgspec


class Quantiles(msgspec.Struct):
    """Quantiles of a duration in milliseconds, and the number of values."""

    count: int = 0
    p50: float = 0.0
    p95: float = 0.0
    p99: float = 0.0


class PhaseResult(msgspec.Struct):
    """The figures of one phase of a run.

    Reuse is the share of prompt tokens found in engines' caches, and skew the load of the most
    loaded engine divided by the mean. `served_late` counts requests whose first byte came late.
    """

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
    # Share of samples in which an engine exceeded the limit set by the load bound, and by how many
    # requests at most.
    over_share: float = 0.0
    over_most: int = 0
    first_byte: Quantiles = msgspec.field(default_factory=Quantiles)
    gap: Quantiles = msgspec.field(default_factory=Quantiles)

    @property
    def reuse_ratio(self) -> float:
        """Reuse divided by its upper bound; 0 if the bound is 0."""
        return self.reuse / self.reuse_bound if self.reuse_bound else 0.0

    @property
    def served_share(self) -> float:
        """Share of requests with a complete, right answer; 0 without requests."""
        return self.served / self.requests if self.requests else 0.0


class ControlResult(msgspec.Struct):
    """Cost of control at an instance: bytes per second by kind, and the share of a core.

    Figures are means over the instances, except `core_share_most`, the highest share.
    """

    bytes_per_second: dict[str, float] = {}
    core_share: float = 0.0
    core_share_most: float = 0.0

    @property
    def total_bytes(self) -> float:
        """Bytes per second, summed over all kinds."""
        return sum(self.bytes_per_second.values())


class ZoneResult(msgspec.Struct):
    """Service while a zone was out of service and returned.

    `lowest_share` is the lowest share of requests served well in a second, `dip_seconds` the time
    in which that share was low, and `lost` the number of requests without a right answer.
    `last_new_work` is the time in seconds from the exit to the last new request at the zone, and
    `first_work_back` that from the return to the first one, or -1 if there was none.
    """

    zone: str = ""
    lowest_share: float = 1.0
    dip_seconds: float = 0.0
    last_new_work: float = 0.0
    first_work_back: float = 0.0
    lost: int = 0


class Series(msgspec.Struct):
    """Figures for the plots, by the time `at` in seconds since the load began."""

    at: list[float] = []
    reuse: list[float] = []
    skew: list[float] = []
    served_share: list[float] = []
    first_byte_ms: list[float] = []


class RunResult(msgspec.Struct):
    """The complete result of one run."""

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
        """Return the phase with a name; raise StopIteration if there is none."""
        return next(phase for phase in self.phases if phase.name == name)


def write_result(result: RunResult, path: Path) -> None:
    """Write a result to a JSON file and create its folder if needed."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=1))


def read_results(path: Path) -> list[RunResult]:
    """Read one result file, or all those in a folder and its subfolders."""
    files = sorted(path.rglob("*.json")) if path.is_dir() else [path]
    return [msgspec.json.decode(file.read_bytes(), type=RunResult) for file in files]
