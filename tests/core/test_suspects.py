"""Crashes are counted against the requests that were there, and against no others."""

from __future__ import annotations

from rhubarbbend.core import events
from rhubarbbend.core.messages import CrashCount, CrashNotice
from tests.core.fakes import ENGINE, PendingRun, World

TWO = {"a1": "a", "b1": "b"}


def ask(world: World, instance: str, request: str, body: str) -> PendingRun:
    """Let a chat arrive and be dispatched; gives its run."""
    world.send(instance, request, body=body, service=ENGINE)
    return world.runs[-1]


def crash(world: World, run: PendingRun, silent: bool = False) -> None:
    """Let a run's engine crash, or become unreachable."""
    world.fail(run, "sent")
    name, probe = world.probes.pop()
    boot = "" if silent else f"{probe.target}-after-{world.now}"
    world.feed(name, events.ProbeAnswered(probe.target, probe.attempt, boot, silent))


def test_second_crash_refuses_the_request_everywhere() -> None:
    """The request is tried again after the first crash. After the second it is refused, also by
    an instance that ran none of it."""
    world = World(TWO)
    crash(world, ask(world, "a1", "r1", "bad"))
    crash(world, world.runs[-1])
    assert world.read_answer("r1").code == "request_crashes_targets"
    world.send("b1", "r2", body="bad", service=ENGINE)
    assert world.read_answer("r2").code == "request_crashes_targets"
    assert not world.runs
    world.advance(700.0)
    assert ask(world, "b1", "r3", "bad")


def test_silent_target_is_no_crash() -> None:
    """The target gives no sign at all, twice. That is a partition's mark as much as a crash's."""
    world = World(TWO)
    crash(world, ask(world, "a1", "r1", "good"), silent=True)
    crash(world, world.runs[-1], silent=True)
    assert not world.cores["a1"].suspects.count_crashes("good")


def test_one_crash_counts_once_for_each_request() -> None:
    """Two callers sent the same request and both were on the engine when it crashed; both
    instances tell the others. It is one crash."""
    world = World(TWO)
    notice = CrashNotice(crashes=[CrashCount(digest="x", count=1, last_target="boot-1")])
    for _ in range(2):
        world.feed("a1", events.PeerSaid("b1", notice))
    assert world.cores["a1"].suspects.count_crashes("x") == 1


def test_request_that_ran_to_its_end_is_no_suspect() -> None:
    """An innocent request was beside the crash. It runs elsewhere to its end and is forgotten, so
    that a later crash beside it counts as its first."""
    world = World(TWO)
    crash(world, ask(world, "a1", "r1", "good"))
    assert world.cores["a1"].suspects.count_crashes("good") == 1
    world.finish(world.runs[-1])
    assert world.cores["a1"].suspects.count_crashes("good") == 0


def test_suspects_run_apart_so_that_the_innocent_is_not_blamed() -> None:
    """Two requests were on the engine that crashed, and one other engine is left. Only one of the
    two runs there at a time, so its crash counts against that one alone: the innocent request
    waits, and is not refused for the second crash."""
    world = World(TWO)
    runs = [ask(world, "a1", f"r{n}", f"body-{n}") for n in range(8)]
    first = [run for run in runs if run.action.target == runs[0].action.target][:2]
    for run in runs:
        if run not in first:
            world.finish(run)
    for run in first:
        crash(world, run)
    again = list(world.runs)
    assert len(again) == 1
    crash(world, again[0])
    guilty = again[0].action.request
    innocent = next(run.action.request for run in first if run.action.request != guilty)
    assert world.read_answer(guilty).code == "request_crashes_targets"
    told = [answer.code for answer in world.answers[innocent]]
    assert "request_crashes_targets" not in told
    assert world.cores["a1"].suspects.count_crashes(f"body-{innocent[1:]}") == 1


def test_request_sent_to_a_target_that_was_dead_already_is_not_blamed() -> None:
    """A proxy in between takes connections for two engines that have crashed, and closes them. A
    request that came after the crashes fails at both; it was there at neither."""
    world = World({"a1": "a"})
    late = ask(world, "a1", "r2", "good")
    world.finish(late)
    boot = f"{late.action.target}-1"
    notice = CrashNotice(crashes=[CrashCount(digest="bad", count=1, last_target=boot)])
    world.feed("a1", events.PeerSaid("b1", notice))
    world.advance(0.1)
    world.send("a1", "r3", body="good", service=ENGINE)
    crash(world, world.runs[-1])
    assert world.cores["a1"].suspects.count_crashes("good") == 0


def tell_crashes(world: World, instance: str, digest: str, *boots: str) -> None:
    """Tell an instance of the crashes of a request, as the instance that saw them does."""
    counts = [CrashCount(digest=digest, count=n, last_target=b) for n, b in enumerate(boots, 1)]
    world.feed(instance, events.PeerSaid("b1", CrashNotice(crashes=counts)))


def test_word_of_the_second_crash_overtaken_by_its_caller_still_counts() -> None:
    """An instance knows of one crash of a request. Its caller, refused by another one after the
    second, asks here a moment before the word of that crash arrives. No third engine falls: the
    request is held for longer than such a word takes, and then refused at once."""
    world = World(TWO)
    tell_crashes(world, "a1", "bad", "boot-1")
    world.send("a1", "r1", body="bad", service=ENGINE)
    assert not world.runs
    tell_crashes(world, "a1", "bad", "boot-1", "boot-2")
    assert world.read_answer("r1").code == "request_crashes_targets"
    assert world.read_answer("r1").verdict == "not_run"
    world.advance(1.0)
    assert not world.runs


def test_request_that_waits_for_a_slot_is_refused_with_the_second_crash() -> None:
    """The engine is full, so a request that has crashed one waits for a slot. When the word of
    its second crash comes it is refused at once, and gets none of the slots that come free."""
    world = World({"a1": "a"})
    tell_crashes(world, "a1", "bad", "boot-1")
    for number in range(200):
        world.send("a1", f"good-{number}", body=f"good-{number}", service=ENGINE)
    running = len(world.runs)
    assert running < 200
    world.send("a1", "r1", body="bad", service=ENGINE)
    world.advance(1.0)
    assert len(world.runs) == running
    tell_crashes(world, "a1", "bad", "boot-1", "boot-2")
    assert world.read_answer("r1").code == "request_crashes_targets"
    while world.runs:
        assert world.runs[0].action.request != "r1"
        world.finish(world.runs[0])


def test_suspect_with_one_crash_runs_after_a_moment() -> None:
    """A request that was beside a crash is held only as long as a word of another crash takes."""
    world = World(TWO)
    tell_crashes(world, "a1", "good", "boot-1")
    world.send("a1", "r1", body="good", service=ENGINE)
    world.advance(0.1)
    assert [run.action.request for run in world.runs] == ["r1"]


def test_command_is_not_sent_once_its_second_crash_is_known() -> None:
    """The word of a command's second crash comes while its claim is being written. The claim is
    given up unsent, and its caller is told that it has not run."""
    world = World(TWO)
    world.send("a1", "r1", key="k1", body="bad")
    tell_crashes(world, "a1", "bad", "boot-1", "boot-2")
    world.settle()
    assert not world.runs
    assert world.read_answer("r1").code == "request_crashes_targets"
    assert world.read_answer("r1").verdict == "not_run"
