"""How figures are worked out from what a run has recorded."""

from __future__ import annotations

from loadtool import Answer
from loadtool._analysis import compute_excesses, compute_reuse, compute_skew, describe_zone
from loadtool._chats import Sent
from loadtool._samples import EngineFigures, EngineSample
from rhubarbbend.core.configuration import Service

SERVICE = Service("planner", bound=1.25, floor=2)


def make_sample(at: float, *running: int, prompt: int = 0, cached: int = 0) -> EngineSample:
    """Make a sample of engines e0, e1 and so on."""
    figures = {f"e{n}": EngineFigures(r, prompt, cached, at) for n, r in enumerate(running)}
    return EngineSample(at, figures)


def make_sent(at: float, good: bool, first_byte: float = 0.1) -> Sent:
    """Make a request as its caller saw it."""
    answer = Answer(status=200, whole=good, right=good, first_byte=first_byte)
    return Sent(at, "planning", answer)


def test_reuse_counts_only_what_came_in_the_window() -> None:
    samples = [
        make_sample(0.0, 1, prompt=1_000, cached=0),
        make_sample(1.0, 1, prompt=2_000, cached=900),
        make_sample(2.0, 1, prompt=3_000, cached=900),
    ]
    assert compute_reuse(samples, 0.5, 1.5) == 0.9
    assert compute_reuse(samples, 1.5, 2.5) == 0.0


def test_skew_leaves_out_engines_out_of_service() -> None:
    sample = make_sample(0.0, 4, 2, 0)
    assert compute_skew(sample, set()) == 2.0
    assert compute_skew(sample, {"e2"}) == 4 / 3


def test_excess_is_measured_from_the_highest_mean_of_the_last_seconds() -> None:
    # Twenty requests run on two engines and the limit is 14. Most end at once; seven that were
    # granted within the bound still run on one engine. That is no excess, but 15 at once is, and
    # so are the seven when the high mean is long past.
    assert compute_excesses([make_sample(0.0, 10, 10)], set(), SERVICE) == [0]
    falling = [make_sample(0.0, 10, 10), make_sample(1.0, 7, 0)]
    assert compute_excesses(falling, set(), SERVICE) == [0, 0]
    assert compute_excesses([make_sample(0.0, 15, 5)], set(), SERVICE) == [1]
    assert compute_excesses([make_sample(0.0, 10, 10), make_sample(9.0, 7, 0)], set(), SERVICE) == [
        0,
        2,
    ]


def test_zone_exit_shows_the_dip_and_the_last_new_work() -> None:
    # The zone leaves at 10 s. Its engine gets its last request 0.4 s later. In the second second
    # one of two requests fails and later all are served, one of them too late to count as well.
    samples = [
        EngineSample(at, {"e0": EngineFigures(1, 0, 0, last)})
        for at, last in ((9.8, 9.7), (10.4, 10.3), (11.0, 10.3), (21.0, 20.5))
    ]
    sent = [
        make_sent(10.5, True),
        make_sent(11.5, True),
        make_sent(11.6, False),
        make_sent(13.0, True, first_byte=8.0),
    ]
    found = describe_zone("c", {"e0"}, 10.0, 20.0, sent, samples)
    assert found.lowest_share == 0.0 and found.dip_seconds == 2.0
    assert abs(found.last_new_work - 0.4) < 1e-9
    assert abs(found.first_work_back - 1.0) < 1e-9
    assert found.lost == 1
