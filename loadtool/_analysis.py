"""Turns what a run has recorded into its result."""

from __future__ import annotations

import math
import statistics
from collections import Counter, deque
from collections.abc import Sequence
from typing import Final

from loadtool._bound import BoundCount
from loadtool._caller import Answer
from loadtool._chats import Sent
from loadtool._histograms import Histogram
from loadtool._results import PhaseResult, Series, ZoneResult
from loadtool._samples import EngineSample
from loadtool._scenario import Phase
from rhubarbbend.core.configuration import Service

BIN_SECONDS: Final = 1.0
# A request is served well if its first byte came within this; a dip is a bin below the share.
GOOD_FIRST_BYTE: Final = 3.0
# About as long as a request runs after its slot was granted.
MEAN_SECONDS: Final = 2.0
DIP_SHARE: Final = 0.99
CHAT_KINDS_EXCLUDED: Final = ("command", "lookup")


def is_served_well(sent: Sent) -> bool:
    """Whether the caller got its whole, right answer in good time."""
    return sent.answer.good and sent.answer.first_byte <= GOOD_FIRST_BYTE


def compute_reuse(samples: Sequence[EngineSample], begin: float, end: float) -> float:
    """Give the share of prompt tokens that the engines had, between two times."""
    prompt = 0
    cached = 0
    last: dict[str, tuple[int, int]] = {}
    for sample in samples:
        for name, figures in sample.engines.items():
            before = last.get(name, (0, 0))
            last[name] = (figures.prompt_tokens, figures.cached_tokens)
            if begin <= sample.at < end:
                prompt += figures.prompt_tokens - before[0]
                cached += figures.cached_tokens - before[1]
    return cached / prompt if prompt else 0.0


def compute_skew(sample: EngineSample, out: set[str]) -> float:
    """Give the load of the most loaded engine over the mean, of those in service."""
    loads = [figures.running for name, figures in sample.engines.items() if name not in out]
    mean = sum(loads) / len(loads) if loads else 0.0
    return max(loads) / mean if mean else 1.0


def compute_excesses(samples: Sequence[EngineSample], out: set[str], service: Service) -> list[int]:
    """Give, for each sample, how far the most loaded engine is above the bound's limit.

    The limit is the owners', worked out from the highest mean of the last seconds: what was
    granted within the bound is not taken back when the mean falls, and runs on for a while.
    """
    excesses: list[int] = []
    limits: deque[tuple[float, int]] = deque()
    for sample in samples:
        loads = [figures.running for name, figures in sample.engines.items() if name not in out]
        if not loads:
            continue
        mean = (sum(loads) + 1) / len(loads)
        limits.append((sample.at, max(service.floor, math.ceil(service.bound * mean))))
        while limits[0][0] < sample.at - MEAN_SECONDS:
            limits.popleft()
        excesses.append(max(0, max(loads) - max(limit for _, limit in limits)))
    return excesses


def _sum_reuse(answers: Sequence[Answer]) -> float:
    """Give the share of prompt tokens that engines had, as they say in their answers.

    Requests count where they began, as in the bound. By the engines' running counts a prompt that
    waited in a queue would count in a later phase than its turn does in the bound.
    """
    prompt = sum(answer.prompt_tokens for answer in answers)
    return sum(answer.cached_tokens for answer in answers) / prompt if prompt else 0.0


def describe_phase(
    phase: Phase,
    sent: Sequence[Sent],
    samples: Sequence[EngineSample],
    bound: BoundCount,
    out: set[str],
    service: Service,
) -> PhaseResult:
    """Work out the figures of one phase."""
    chosen = [one for one in sent if phase.begin <= one.at < phase.end]
    chats = [one for one in chosen if one.kind not in CHAT_KINDS_EXCLUDED]
    inside = [sample for sample in samples if phase.begin <= sample.at < phase.end]
    skews = sorted(compute_skew(sample, out) for sample in inside) or [1.0]
    excesses = compute_excesses(inside, out, service) or [0]
    good = [one.answer for one in chats if one.answer.good]
    return PhaseResult(
        name=phase.name,
        seconds=phase.end - phase.begin,
        requests=len(chosen),
        served=sum(one.answer.good for one in chosen),
        served_late=sum(one.answer.good and not is_served_well(one) for one in chosen),
        reuse=_sum_reuse(good),
        reuse_bound=bound.reuse,
        skew_p50=skews[len(skews) // 2],
        skew_p95=skews[int(len(skews) * 0.95)],
        skew_max=skews[-1],
        over_share=sum(excess > 0 for excess in excesses) / len(excesses),
        over_most=max(excesses),
        first_byte=Histogram(answer.first_byte for answer in good).describe(),
        gap=Histogram(gap for answer in good for gap in answer.gaps).describe(),
    )


def describe_zone(
    zone: str,
    engines: set[str],
    out_at: float,
    back_at: float,
    sent: Sequence[Sent],
    samples: Sequence[EngineSample],
) -> ZoneResult:
    """Work out what a zone's exit and return cost."""
    during = [one for one in sent if one.at >= out_at]
    bins: dict[int, list[bool]] = {}
    for one in during:
        bins.setdefault(int((one.at - out_at) / BIN_SECONDS), []).append(is_served_well(one))
    shares = [sum(flags) / len(flags) for flags in bins.values()]
    return ZoneResult(
        zone=zone,
        lowest_share=min(shares, default=1.0),
        dip_seconds=BIN_SECONDS * sum(share < DIP_SHARE for share in shares),
        last_new_work=_find_last_new_work(engines, out_at, back_at, samples),
        first_work_back=_find_first_work(engines, back_at, samples),
        lost=sum(not one.answer.good for one in during),
    )


def _list_new_work(
    engines: set[str], samples: Sequence[EngineSample], begin: float, end: float
) -> list[float]:
    """List the sample times in which an engine of a zone was seen to have got new work."""
    found: list[float] = []
    last: dict[str, float] = {}
    for sample in samples:
        for name in engines & set(sample.engines):
            at = sample.engines[name].last_request
            if begin < sample.at < end and at > last.get(name, at):
                found.append(sample.at)
            last[name] = at
    return found


def _find_last_new_work(
    engines: set[str], out_at: float, back_at: float, samples: Sequence[EngineSample]
) -> float:
    times = _list_new_work(engines, samples, out_at, back_at)
    return times[-1] - out_at if times else 0.0


def _find_first_work(engines: set[str], back_at: float, samples: Sequence[EngineSample]) -> float:
    times = _list_new_work(engines, samples, back_at, math.inf)
    return times[0] - back_at if times else -1.0


def make_series(
    seconds: float, sent: Sequence[Sent], samples: Sequence[EngineSample], out: set[str]
) -> Series:
    """Work out the figures of each second."""
    series = Series()
    for number in range(math.ceil(seconds / BIN_SECONDS)):
        begin = number * BIN_SECONDS
        end = begin + BIN_SECONDS
        chosen = [one for one in sent if begin <= one.at < end]
        firsts = [one.answer.first_byte for one in chosen if one.answer.good]
        skews = [compute_skew(s, out) for s in samples if begin <= s.at < end]
        series.at.append(begin)
        series.reuse.append(compute_reuse(samples, begin, end))
        series.skew.append(max(skews, default=1.0))
        served = sum(is_served_well(one) for one in chosen)
        series.served_share.append(served / len(chosen) if chosen else 1.0)
        series.first_byte_ms.append(statistics.median(firsts) * 1e3 if firsts else 0.0)
    return series


def count_failures(sent: Sequence[Sent]) -> dict[str, int]:
    """Count the requests without a good answer by kind and refusal code or failure."""
    reasons: Counter[str] = Counter()
    for one in sent:
        if not one.answer.good:
            why = one.answer.code or one.answer.failure or "wrong or cut answer"
            reasons[f"{one.kind}: {why}"] += 1
    return dict(reasons)
