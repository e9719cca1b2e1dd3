"""Tests that crashes are counted only against requests that were running on the target."""

from __future__ import annotations

from rhubarbbend.core import events
from rhubarbbend.core.messages import CrashCount, CrashNotice
from tests.core.fakes import ENGINE, PendingRun, World

ZONE_BY_INSTANCE = {"a1": "a", "b1": "b"}


def dispatch_chat(world: World, instance: str, request: str, body: str) -> PendingRun:
    """Send a chat request to an instance and return its dispatched run."""
    world.send(instance, request, body=body, service=ENGINE)
    return world.runs[-1]


def crash_engine(world: World, run: PendingRun, silent: bool = False) -> None:
    """Make the engine of a run crash, or, with `silent`, become unreachable."""
    world.fail(run, "sent")
    name, probe = world.probes.pop()
    boot = "" if silent else f"{probe.target}-after-{world.now}"
    world.feed(name, events.ProbeAnswered(probe.target, probe.attempt, boot, silent))


def test_second_crash_refuses_the_request_everywhere() -> None:
    """A request is retried after its first crash. After the second one it is refused, also by an
    instance that never ran it, until the crashes have expired."""
    world = World(ZONE_BY_INSTANCE)
    crash_engine(world, dispatch_chat(world, "a1", "r1", "bad"))
    crash_engine(world, world.runs[-1])
    assert world.read_answer("r1").code == "request_crashes_targets"
    world.send("b1", "r2", body="bad", service=ENGINE)
    assert world.read_answer("r2").code == "request_crashes_targets"
    assert not world.runs
    world.advance(700.0)
    assert dispatch_chat(world, "b1", "r3", "bad")


def test_silent_target_is_not_counted_as_crash() -> None:
    """The target does not respond at all, twice. This may be a partition as well as a crash."""
    world = World(ZONE_BY_INSTANCE)
    crash_engine(world, dispatch_chat(world, "a1", "r1", "good"), silent=True)
    crash_engine(world, world.runs[-1], silent=True)
    assert not world.cores["a1"].suspects.get_crash_count("good")


def test_one_crash_counts_once_for_each_request() -> None:
    """Guard against counting one crash twice. Two callers sent the same request, and both attempts
    ran on the engine that crashed, so two instances send a notice of the same crash."""
    world = World(ZONE_BY_INSTANCE)
    notice = CrashNotice(crashes=[CrashCount(digest="x", count=1, last_target="boot-1")])
    for _ in range(2):
        world.feed("a1", events.PeerSaid("b1", notice))
    assert world.cores["a1"].suspects.get_crash_count("x") == 1


def test_completed_request_is_no_longer_a_suspect() -> None:
    """A request that did not cause the crash completes on another engine. Its count is reset, so
    that a later crash on its target counts as its first."""
    world = World(ZONE_BY_INSTANCE)
    crash_engine(world, dispatch_chat(world, "a1", "r1", "good"))
    assert world.cores["a1"].suspects.get_crash_count("good") == 1
    world.finish(world.runs[-1])
    assert world.cores["a1"].suspects.get_crash_count("good") == 0


def test_suspects_never_share_a_target() -> None:
    """Guard against refusing a request for crashes caused by another one. Two requests ran on the
    engine that crashed, and one engine is left. Only one of them may run there at a time, so that
    the second crash counts against that one alone and the other request is not refused."""
    world = World(ZONE_BY_INSTANCE)
    runs = [dispatch_chat(world, "a1", f"r{n}", f"body-{n}") for n in range(8)]
    first = [run for run in runs if run.action.target == runs[0].action.target][:2]
    for run in runs:
        if run not in first:
            world.finish(run)
    for run in first:
        crash_engine(world, run)
    again = list(world.runs)
    assert len(again) == 1
    crash_engine(world, again[0])
    guilty = again[0].action.request
    innocent = next(run.action.request for run in first if run.action.request != guilty)
    assert world.read_answer(guilty).code == "request_crashes_targets"
    error_codes = [answer.code for answer in world.answers[innocent]]
    assert "request_crashes_targets" not in error_codes
    assert world.cores["a1"].suspects.get_crash_count(f"body-{innocent[1:]}") == 1


def test_crash_before_a_request_was_sent_is_not_counted() -> None:
    """Guard against counting crashes that happened before a request was sent. A proxy still accepts
    connections for crashed engines and then closes them, so the request fails as in a crash.
    """
    world = World({"a1": "a"})
    late = dispatch_chat(world, "a1", "r2", "good")
    world.finish(late)
    boot = f"{late.action.target}-1"
    notice = CrashNotice(crashes=[CrashCount(digest="bad", count=1, last_target=boot)])
    world.feed("a1", events.PeerSaid("b1", notice))
    world.advance(0.1)
    world.send("a1", "r3", body="good", service=ENGINE)
    crash_engine(world, world.runs[-1])
    assert world.cores["a1"].suspects.get_crash_count("good") == 0


def notify_crashes(world: World, instance: str, digest: str, *boots: str) -> None:
    """Send an instance a notice of the crashes of a request, as the instance that saw them does."""
    counts = [CrashCount(digest=digest, count=n, last_target=b) for n, b in enumerate(boots, 1)]
    world.feed(instance, events.PeerSaid("b1", CrashNotice(crashes=counts)))


def test_request_that_arrives_before_the_second_crash_notice_is_refused() -> None:
    """Guard against a third crash caused by a late notice. The instance knows of one crash of the
    request. The caller, refused elsewhere after the second crash, repeats the request here just
    before the notice of that crash arrives. The request must be delayed for longer than a notice
    takes, and be refused when the notice arrives."""
    world = World(ZONE_BY_INSTANCE)
    notify_crashes(world, "a1", "bad", "boot-1")
    world.send("a1", "r1", body="bad", service=ENGINE)
    assert not world.runs
    notify_crashes(world, "a1", "bad", "boot-1", "boot-2")
    assert world.read_answer("r1").code == "request_crashes_targets"
    assert world.read_answer("r1").verdict == "not_run"
    world.advance(1.0)
    assert not world.runs


def test_queued_request_is_refused_on_the_second_crash_notice() -> None:
    """The engine is full, so a request with one crash waits for a slot. When the notice of its
    second crash arrives it must be refused at once, and get none of the slots released later.
    """
    world = World({"a1": "a"})
    notify_crashes(world, "a1", "bad", "boot-1")
    for number in range(200):
        world.send("a1", f"good-{number}", body=f"good-{number}", service=ENGINE)
    running = len(world.runs)
    assert running < 200
    world.send("a1", "r1", body="bad", service=ENGINE)
    world.advance(1.0)
    assert len(world.runs) == running
    notify_crashes(world, "a1", "bad", "boot-1", "boot-2")
    assert world.read_answer("r1").code == "request_crashes_targets"
    while world.runs:
        assert world.runs[0].action.request != "r1"
        world.finish(world.runs[0])


def test_suspect_with_one_crash_is_dispatched_after_the_delay() -> None:
    """A request with one crash is delayed only for about as long as a crash notice takes."""
    world = World(ZONE_BY_INSTANCE)
    notify_crashes(world, "a1", "good", "boot-1")
    world.send("a1", "r1", body="good", service=ENGINE)
    world.advance(0.1)
    assert [run.action.request for run in world.runs] == ["r1"]


def test_command_is_not_sent_once_its_second_crash_is_known() -> None:
    """The notice of a command's second crash arrives while its claim is being written. The command
    must not be sent, and the caller must be told that it has not run."""
    world = World(ZONE_BY_INSTANCE)
    world.send("a1", "r1", key="k1", body="bad")
    notify_crashes(world, "a1", "bad", "boot-1", "boot-2")
    world.settle()
    assert not world.runs
    assert world.read_answer("r1").code == "request_crashes_targets"
    assert world.read_answer("r1").verdict == "not_run"
