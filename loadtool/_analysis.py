"""Computes the figures of a run's result from the requests and engine samples it recorded."""

from __future__ import annotations

import math
import statistics
from collections import Counter, deque
from collections.abc import Sequence
from typing import Final

from loadtool._caller import Answer
from loadtool._histograms import Histogram
from loadtool._results import PhaseResult, Series, ZoneResult
from loadtool._reuse_bound import ReuseCounts
from loadtool._samples import EngineSample
from loadtool._scenario import Phase
from loadtool._workload import SentRequest
from rhubarbbend.core.configuration import Service

BIN_S: Final = 1.0
# A request is served well if its answer is right and its first byte arrived within this time.
MAX_GOOD_FIRST_BYTE_S: Final = 3.0
# The limit of an engine is computed from the mean loads within this window, which is about as long
# as a request runs after its slot was granted.
LIMIT_WINDOW_S: Final = 2.0
# A bin in which a smaller share of the requests is served well counts as a dip.
MIN_SERVED_WELL_FRACTION: Final = 0.99
NON_CHAT_KINDS: Final = ("command", "lookup")


def is_served_well(request: SentRequest) -> bool:
    """Return whether the caller got its complete, right answer with a timely first byte."""
    return request.answer.is_correct and request.answer.first_byte <= MAX_GOOD_FIRST_BYTE_S


def compute_reuse(samples: Sequence[EngineSample], begin: float, end: float) -> float:
    """Return the share of prompt tokens that engines found in their caches between two times.

    `begin` and `end` are in seconds since the load began.
    """
    prompt = 0
    cached = 0
    last: dict[str, tuple[int, int]] = {}
    for sample in samples:
        for name, stats in sample.engines.items():
            before = last.get(name, (0, 0))
            last[name] = (stats.prompt_tokens, stats.cached_tokens)
            if begin <= sample.at < end:
                prompt += stats.prompt_tokens - before[0]
                cached += stats.cached_tokens - before[1]
    return cached / prompt if prompt else 0.0


def compute_skew(sample: EngineSample, excluded: set[str]) -> float:
    """Return the load of the most loaded engine divided by the mean load.

    Engines in `excluded` (out of service) are left out.
    """
    loads = [stats.running for name, stats in sample.engines.items() if name not in excluded]
    mean = sum(loads) / len(loads) if loads else 0.0
    return max(loads) / mean if mean else 1.0


def compute_excesses(
    samples: Sequence[EngineSample], excluded: set[str], service: Service
) -> list[int]:
    """Return, for each sample, by how many requests the most loaded engine exceeds its limit.

    The limit is the one that the engines' owners apply, computed from the highest mean load of the
    last LIMIT_WINDOW_S seconds: a slot granted within the limit is not revoked when the mean
    falls, so its request runs on for a while.
    """
    excesses: list[int] = []
    limits: deque[tuple[float, int]] = deque()
    for sample in samples:
        loads = [stats.running for name, stats in sample.engines.items() if name not in excluded]
        if not loads:
            continue
        mean = (sum(loads) + 1) / len(loads)
        limits.append((sample.at, max(service.floor, math.ceil(service.bound * mean))))
        while limits[0][0] < sample.at - LIMIT_WINDOW_S:
            limits.popleft()
        excesses.append(max(0, max(loads) - max(limit for _, limit in limits)))
    return excesses


def _compute_answer_reuse(answers: Sequence[Answer]) -> float:
    """Return the share of prompt tokens found in caches, as the engines report in their answers.

    A request counts in the phase in which it was sent, as in the upper bound of reuse. If the
    engines' cumulative counts were used instead, a prompt that waited in a queue would count in a
    later phase than its turn does in the bound.
    """
    prompt = sum(answer.prompt_tokens for answer in answers)
    return sum(answer.cached_tokens for answer in answers) / prompt if prompt else 0.0


def compute_phase_result(
    phase: Phase,
    requests: Sequence[SentRequest],
    samples: Sequence[EngineSample],
    bound: ReuseCounts,
    excluded: set[str],
    service: Service,
) -> PhaseResult:
    """Compute the figures of one phase.

    `bound` holds the highest possible reuse in the phase; engines in `excluded` (out of service)
    do not count in the skew and the excess.
    """
    phase_requests = [request for request in requests if phase.begin <= request.at < phase.end]
    chats = [request for request in phase_requests if request.kind not in NON_CHAT_KINDS]
    inside = [sample for sample in samples if phase.begin <= sample.at < phase.end]
    skews = sorted(compute_skew(sample, excluded) for sample in inside) or [1.0]
    excesses = compute_excesses(inside, excluded, service) or [0]
    correct_answers = [request.answer for request in chats if request.answer.is_correct]
    return PhaseResult(
        name=phase.name,
        seconds=phase.end - phase.begin,
        requests=len(phase_requests),
        served=sum(request.answer.is_correct for request in phase_requests),
        served_late=sum(
            request.answer.is_correct and not is_served_well(request) for request in phase_requests
        ),
        reuse=_compute_answer_reuse(correct_answers),
        reuse_bound=bound.reuse,
        skew_p50=skews[len(skews) // 2],
        skew_p95=skews[int(len(skews) * 0.95)],
        skew_max=skews[-1],
        over_share=sum(excess > 0 for excess in excesses) / len(excesses),
        over_most=max(excesses),
        first_byte=Histogram(answer.first_byte for answer in correct_answers).compute_quantiles(),
        gap=Histogram(
            gap for answer in correct_answers for gap in answer.chunk_gaps
        ).compute_quantiles(),
    )


def compute_zone_result(
    zone: str,
    engines: set[str],
    out_of_service_at: float,
    in_service_at: float,
    requests: Sequence[SentRequest],
    samples: Sequence[EngineSample],
) -> ZoneResult:
    """Compute how the exit of a zone and its return affected the service.

    `engines` are those of the zone; times are in seconds since the load began.
    """
    during = [request for request in requests if request.at >= out_of_service_at]
    bins: dict[int, list[bool]] = {}
    for request in during:
        bins.setdefault(int((request.at - out_of_service_at) / BIN_S), []).append(
            is_served_well(request)
        )
    shares = [sum(flags) / len(flags) for flags in bins.values()]
    return ZoneResult(
        zone=zone,
        lowest_share=min(shares, default=1.0),
        dip_seconds=BIN_S * sum(share < MIN_SERVED_WELL_FRACTION for share in shares),
        last_new_work=_compute_last_new_work(engines, out_of_service_at, in_service_at, samples),
        first_work_back=_compute_first_work_back(engines, in_service_at, samples),
        lost=sum(not request.answer.is_correct for request in during),
    )


def _list_new_work_times(
    engines: set[str], samples: Sequence[EngineSample], begin: float, end: float
) -> list[float]:
    """Return the times of samples between two times that show a new request at an engine."""
    found: list[float] = []
    last: dict[str, float] = {}
    for sample in samples:
        for name in engines & set(sample.engines):
            at = sample.engines[name].last_request
            if begin < sample.at < end and at > last.get(name, at):
                found.append(sample.at)
            last[name] = at
    return found


def _compute_last_new_work(
    engines: set[str],
    out_of_service_at: float,
    in_service_at: float,
    samples: Sequence[EngineSample],
) -> float:
    times = _list_new_work_times(engines, samples, out_of_service_at, in_service_at)
    return times[-1] - out_of_service_at if times else 0.0


def _compute_first_work_back(
    engines: set[str], in_service_at: float, samples: Sequence[EngineSample]
) -> float:
    times = _list_new_work_times(engines, samples, in_service_at, math.inf)
    return times[0] - in_service_at if times else -1.0


def compute_series(
    seconds: float,
    requests: Sequence[SentRequest],
    samples: Sequence[EngineSample],
    excluded: set[str],
) -> Series:
    """Compute the figures of each bin of BIN_S seconds."""
    series = Series()
    for number in range(math.ceil(seconds / BIN_S)):
        begin = number * BIN_S
        end = begin + BIN_S
        bin_requests = [request for request in requests if begin <= request.at < end]
        first_byte_times = [
            request.answer.first_byte for request in bin_requests if request.answer.is_correct
        ]
        skews = [compute_skew(s, excluded) for s in samples if begin <= s.at < end]
        series.at.append(begin)
        series.reuse.append(compute_reuse(samples, begin, end))
        series.skew.append(max(skews, default=1.0))
        served = sum(is_served_well(request) for request in bin_requests)
        series.served_share.append(served / len(bin_requests) if bin_requests else 1.0)
        series.first_byte_ms.append(
            statistics.median(first_byte_times) * 1e3 if first_byte_times else 0.0
        )
    return series


def count_failures(requests: Sequence[SentRequest]) -> dict[str, int]:
    """Count the requests without a right answer by kind and by refusal code or failure."""
    reasons: Counter[str] = Counter()
    for request in requests:
        if not request.answer.is_correct:
            why = request.answer.code or request.answer.failure or "wrong or cut answer"
            reasons[f"{request.kind}: {why}"] += 1
    return dict(reasons)
