"""Tests of the figures computed from the recorded requests and engine samples."""

from __future__ import annotations

from loadtool import Answer
from loadtool._analysis import compute_excesses, compute_reuse, compute_skew, compute_zone_result
from loadtool._samples import EngineSample, EngineStats
from loadtool._workload import SentRequest
from rhubarbbend.core.configuration import Service

SERVICE = Service("planner", bound=1.25, floor=2)


def make_sample(at: float, *running: int, prompt: int = 0, cached: int = 0) -> EngineSample:
    """Return a sample of engines e0, e1 and so on."""
    stats = {f"e{n}": EngineStats(r, prompt, cached, at) for n, r in enumerate(running)}
    return EngineSample(at, stats)


def make_sent_request(at: float, is_correct: bool, first_byte: float = 0.1) -> SentRequest:
    """Return a sent request with a correct or an incomplete answer."""
    answer = Answer(status=200, complete=is_correct, body_matches=is_correct, first_byte=first_byte)
    return SentRequest(at, "planning", answer)


def test_reuse_counts_only_tokens_read_in_the_window() -> None:
    samples = [
        make_sample(0.0, 1, prompt=1_000, cached=0),
        make_sample(1.0, 1, prompt=2_000, cached=900),
        make_sample(2.0, 1, prompt=3_000, cached=900),
    ]
    assert compute_reuse(samples, 0.5, 1.5) == 0.9
    assert compute_reuse(samples, 1.5, 2.5) == 0.0


def test_skew_excludes_engines_out_of_service() -> None:
    sample = make_sample(0.0, 4, 2, 0)
    assert compute_skew(sample, set()) == 2.0
    assert compute_skew(sample, {"e2"}) == 4 / 3


def test_excess_is_measured_from_the_highest_mean_of_the_last_seconds() -> None:
    # Twenty requests run on two engines, so the limit is 14. When most of them end, seven that were
    # granted within the limit still run on one engine: this is no excess. 15 requests on one engine
    # are an excess, and so are the seven once the high mean is too old to count.
    assert compute_excesses([make_sample(0.0, 10, 10)], set(), SERVICE) == [0]
    falling = [make_sample(0.0, 10, 10), make_sample(1.0, 7, 0)]
    assert compute_excesses(falling, set(), SERVICE) == [0, 0]
    assert compute_excesses([make_sample(0.0, 15, 5)], set(), SERVICE) == [1]
    assert compute_excesses([make_sample(0.0, 10, 10), make_sample(9.0, 7, 0)], set(), SERVICE) == [
        0,
        2,
    ]


def test_zone_result_shows_the_dip_and_the_last_new_request() -> None:
    # The zone leaves at 10 s and its engine is last seen with a new request 0.4 s later. One of two
    # requests sent between 11 and 12 s fails. The request at 13 s is served, but its first byte is
    # too late for it to count as served well.
    samples = [
        EngineSample(at, {"e0": EngineStats(1, 0, 0, last)})
        for at, last in ((9.8, 9.7), (10.4, 10.3), (11.0, 10.3), (21.0, 20.5))
    ]
    requests = [
        make_sent_request(10.5, True),
        make_sent_request(11.5, True),
        make_sent_request(11.6, False),
        make_sent_request(13.0, True, first_byte=8.0),
    ]
    found = compute_zone_result("c", {"e0"}, 10.0, 20.0, requests, samples)
    assert found.lowest_share == 0.0 and found.dip_seconds == 2.0
    assert abs(found.last_new_work - 0.4) < 1e-9
    assert abs(found.first_work_back - 1.0) < 1e-9
    assert found.lost == 1
