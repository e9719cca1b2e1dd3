"""`make measure`: one measured run of a deployment under load.

During the run engines are replaced, and one zone is taken out of service and returned.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path
from typing import Final

import attrs

from loadtool import _analysis
from loadtool._control_cost import ControlWindow, measure_idle_control
from loadtool._counter_sink import CounterSink, open_sink
from loadtool._deployments import DEPLOYMENTS, Deployment
from loadtool._fleet import MeasuredFleet
from loadtool._probes import PairedProbes
from loadtool._results import ControlResult, RunResult
from loadtool._reuse_bound import compute_reuse_bound
from loadtool._samples import EngineSampler
from loadtool._scenario import STEADY, WARM, ZONE_OUT, Phase, Scenario, plan_phases
from loadtool._workload import TIME_SCALE_FACTOR, LoadGenerator
from rhubarbbend.cli._declarations import read_declarations
from rhubarbbend.core.configuration import Service

HOST: Final = "127.0.0.1"
IDLE_WINDOW_S: Final = 4.0
PROGRESS_INTERVAL_S: Final = 5.0


@attrs.define(slots=True, frozen=True)
class RunOptions:
    """Which deployment to run, with which routing policy, random seed and duration in seconds."""

    deployment: str
    policy: str
    seed: int
    seconds: float


class Measurement:
    """One measured run, from the start of the fleet to the result."""

    def __init__(self, options: RunOptions, folder: Path) -> None:
        self._options = options
        self._folder = folder
        self._deployment: Deployment = DEPLOYMENTS[options.deployment]
        self._phases = plan_phases(options.seconds)

    async def run(self) -> RunResult:
        """Start the fleet, measure it idle and under load, and return the result."""
        sink, port = await open_sink(HOST)
        fleet = MeasuredFleet(self._deployment, self._options.policy, self._folder, port)
        async with fleet.cluster:
            self._print_status("starting the fleet")
            await fleet.start()
            instances = list(fleet.cluster.instances.values())
            self._print_status(f"measuring the idle fleet for {IDLE_WINDOW_S:.0f} s")
            idle = await measure_idle_control(sink, instances, IDLE_WINDOW_S)
            load = self._make_load_generator(fleet)
            sampler = EngineSampler(fleet.cluster, fleet.list_engines, load.now)
            scenario = Scenario(fleet, self._phases, load.now, self._options.seed)
            probes = PairedProbes(fleet, load.now, self._options.seed)
            steady = self._find_phase(STEADY)
            busy_task = asyncio.create_task(self._measure_busy(fleet, sink, load, steady))
            seconds = self._options.seconds
            await asyncio.gather(
                load.run(),
                sampler.run(seconds),
                scenario.run(),
                probes.run(steady.begin, steady.end),
                self._print_progress(load),
            )
            runs = fleet.cluster.count_runs_by_key()
            result = self._compute_result(load, sampler, scenario, self._find_service())
            result.idle = idle
            result.busy = await busy_task
            result.run_twice = sum(count > 1 for count in runs.values())
            result.counters = dict(sorted(sink.sum_over_instances().items()))
            result.fleet_first = probes.fleet_times.first_byte.compute_quantiles()
            result.direct_first = probes.direct_times.first_byte.compute_quantiles()
            result.fleet_gap = probes.fleet_times.gap.compute_quantiles()
            result.direct_gap = probes.direct_times.gap.compute_quantiles()
            return result

    def _make_load_generator(self, fleet: MeasuredFleet) -> LoadGenerator:
        warm = self._find_phase(WARM)
        options = self._options
        return LoadGenerator(
            self._deployment,
            fleet.list_caller_addresses,
            options.seed,
            options.seconds,
            ramp_s=0.8 * warm.end,
        )

    async def _measure_busy(
        self, fleet: MeasuredFleet, sink: CounterSink, load: LoadGenerator, phase: Phase
    ) -> ControlResult:
        while load.now() < phase.begin:
            await asyncio.sleep(0.05)
        window = ControlWindow(sink, list(fleet.cluster.instances.values()))
        await asyncio.sleep(phase.end - load.now())
        return window.close()

    def _compute_result(
        self, load: LoadGenerator, sampler: EngineSampler, scenario: Scenario, service: Service
    ) -> RunResult:
        options = self._options
        bounds = compute_reuse_bound(
            load.served_turns,
            list(scenario.spans.values()),
            self._deployment.cache_tokens,
            [phase.end for phase in self._phases],
        )
        phases = []
        for phase, bound in zip(self._phases, bounds, strict=True):
            excluded = scenario.zone_engines if phase.name == ZONE_OUT else set()
            phases.append(
                _analysis.compute_phase_result(
                    phase, load.requests, sampler.samples, bound, excluded, service
                )
            )
        return RunResult(
            options.deployment,
            options.policy,
            options.seed,
            options.seconds,
            TIME_SCALE_FACTOR,
            requests=len(load.requests),
            wrong=sum(request.answer.is_incorrect for request in load.requests),
            phases=phases,
            zone=_analysis.compute_zone_result(
                scenario.zone,
                scenario.zone_engines,
                scenario.out_of_service_at,
                scenario.in_service_requested_at,
                load.requests,
                sampler.samples,
            ),
            failures=_analysis.count_failures(load.requests),
            series=_analysis.compute_series(options.seconds, load.requests, sampler.samples, set()),
        )

    def _find_phase(self, name: str) -> Phase:
        return next(phase for phase in self._phases if phase.name == name)

    def _find_service(self) -> Service:
        declared = read_declarations(self._deployment.declarations)
        service = declared[("service", self._deployment.engine_service)].value
        assert isinstance(service, Service)
        return service

    async def _print_progress(self, load: LoadGenerator) -> None:
        seconds = self._options.seconds
        while load.now() < seconds:
            phase = next((p.name for p in self._phases if load.now() < p.end), "")
            correct_count = sum(request.answer.is_correct for request in load.requests)
            self._print_status(
                f"{load.now():4.0f} of {seconds:.0f} s, {phase}: {correct_count} answers"
            )
            await asyncio.sleep(min(PROGRESS_INTERVAL_S, max(0.1, seconds - load.now())))

    def _print_status(self, text: str) -> None:
        options = self._options
        line = f"{options.deployment} {options.policy} seed {options.seed}: {text}"
        print(line, file=sys.stderr, flush=True)


async def measure(options: RunOptions) -> RunResult:
    """Run one measurement in a temporary folder and return its result."""
    with tempfile.TemporaryDirectory(prefix="rhubarbbend-measure-") as name:
        return await Measurement(options, Path(name)).run()
