"""Tests that crashes are counted only against requests that were running on the target."""

from __future__ import annotations

from rhubarbbend.core import events
from rhubarbbend.core.messages import CrashCount, CrashNotice
from tests.core.fakes import ENGINE, FakeFleet, PendingRun

ZONE_BY_INSTANCE = {"a1": "a", "b1": "b"}


def dispatch_chat(
    fleet: FakeFleet, instance: str, request: str, body: str, *parts: str
) -> PendingRun:
    """Send a chat request to an instance and return its dispatched run."""
    fleet.send(instance, request, body=body, service=ENGINE, parts=parts)
    return fleet.runs[-1]


def crash_engine(fleet: FakeFleet, run: PendingRun, silent: bool = False) -> None:
    """Make the engine of a run crash, or, with `silent`, become unreachable."""
    fleet.fail(run, "sent")
    name, probe = fleet.probes.pop()
    boot = "" if silent else f"{probe.target}-after-{fleet.now}"
    fleet.handle(name, events.ProbeAnswered(probe.target, probe.attempt, boot, silent))


def test_second_crash_refuses_the_request_everywhere() -> None:
    """A request is retried after its first crash. After the second one it is refused, also by an
    instance that never ran it, for the time that crashes are held; then it is tried again."""
    fleet = FakeFleet(ZONE_BY_INSTANCE)
    crash_engine(fleet, dispatch_chat(fleet, "a1", "r1", "bad"))
    crash_engine(fleet, fleet.runs[-1])
    assert fleet.read_answer("r1").code == "request_crashes_targets"
    fleet.send("b1", "r2", body="bad", service=ENGINE)
    assert fleet.read_answer("r2").code == "request_crashes_targets"
    assert not fleet.runs
    fleet.advance(700.0)
    fleet.send("b1", "r3", body="bad", service=ENGINE)
    fleet.advance(0.1)
    assert [run.action.request for run in fleet.runs] == ["r3"]


def test_silent_target_is_not_counted_as_crash() -> None:
    """The target does not respond at all, twice. This may be a partition as well as a crash."""
    fleet = FakeFleet(ZONE_BY_INSTANCE)
    crash_engine(fleet, dispatch_chat(fleet, "a1", "r1", "good"), silent=True)
    crash_engine(fleet, fleet.runs[-1], silent=True)
    assert not fleet.cores["a1"].suspects.get_crash_count("good", fleet.now)


def test_one_crash_counts_once_for_each_request() -> None:
    """Guard against counting one crash twice. Two callers sent the same request, and both attempts
    ran on the engine that crashed, so two instances send a notice of the same crash."""
    fleet = FakeFleet(ZONE_BY_INSTANCE)
    notice = CrashNotice(crashes=[CrashCount(digest="x", count=1, last_target="boot-1")])
    for _ in range(2):
        fleet.handle("a1", events.PeerSaid("b1", notice))
    assert fleet.cores["a1"].suspects.get_crash_count("x", fleet.now) == 1


def test_equal_requests_at_engines_that_crash_together_are_not_refused() -> None:
    """Guard against refusing a popular request for a loss of power. It had run on two engines for a
    second when both crashed: neither got it because the other one had crashed."""
    fleet = FakeFleet(ZONE_BY_INSTANCE)
    boots = ("boot-1", "boot-2")
    crashes = [CrashCount(digest="popular", count=1, last_target=b, ran=1.0) for b in boots]
    fleet.handle("a1", events.PeerSaid("b1", CrashNotice(crashes=crashes)))
    assert fleet.cores["a1"].suspects.get_crash_count("popular", fleet.now) == 2
    fleet.send("a1", "r1", body="popular", service=ENGINE)
    fleet.advance(0.1)
    assert [run.action.request for run in fleet.runs] == ["r1"]


def test_completed_request_is_no_longer_a_suspect() -> None:
    """A request that did not cause the crash completes on another engine. Its count is reset, so
    that a later crash on its target counts as its first."""
    fleet = FakeFleet(ZONE_BY_INSTANCE)
    crash_engine(fleet, dispatch_chat(fleet, "a1", "r1", "good"))
    assert fleet.cores["a1"].suspects.get_crash_count("good", fleet.now) == 1
    fleet.finish(fleet.runs[-1])
    assert fleet.cores["a1"].suspects.get_crash_count("good", fleet.now) == 0


def test_suspects_never_share_a_target() -> None:
    """Guard against refusing a request for crashes caused by another one. Two requests ran on the
    engine that crashed, and one engine is left. Only one of them may run there at a time, so that
    the second crash counts against that one alone and the other request is not refused."""
    fleet = FakeFleet(ZONE_BY_INSTANCE)
    runs = [dispatch_chat(fleet, "a1", f"r{n}", f"body-{n}") for n in range(8)]
    first = [run for run in runs if run.action.target == runs[0].action.target][:2]
    for run in runs:
        if run not in first:
            fleet.finish(run)
    for run in first:
        crash_engine(fleet, run)
    again = list(fleet.runs)
    assert len(again) == 1
    crash_engine(fleet, again[0])
    guilty = again[0].action.request
    innocent = next(run.action.request for run in first if run.action.request != guilty)
    assert fleet.read_answer(guilty).code == "request_crashes_targets"
    error_codes = [answer.code for answer in fleet.answers[innocent]]
    assert "request_crashes_targets" not in error_codes
    assert fleet.cores["a1"].suspects.get_crash_count(f"body-{innocent[1:]}", fleet.now) == 1


def test_crash_before_a_request_was_sent_is_not_counted() -> None:
    """Guard against counting crashes that happened before a request was sent. A proxy still accepts
    connections for crashed engines and then closes them, so the request fails as in a crash.
    """
    fleet = FakeFleet({"a1": "a"})
    late = dispatch_chat(fleet, "a1", "r2", "good")
    fleet.finish(late)
    boot = f"{late.action.target}-1"
    notice = CrashNotice(crashes=[CrashCount(digest="bad", count=1, last_target=boot)])
    fleet.handle("a1", events.PeerSaid("b1", notice))
    fleet.advance(0.1)
    fleet.send("a1", "r3", body="good", service=ENGINE)
    crash_engine(fleet, fleet.runs[-1])
    assert fleet.cores["a1"].suspects.get_crash_count("good", fleet.now) == 0


def notify_crashes(fleet: FakeFleet, instance: str, digest: str, *boots: str) -> None:
    """Send an instance a notice of the crashes of a request, as the instance that saw them does."""
    counts = [CrashCount(digest=digest, count=n, last_target=b) for n, b in enumerate(boots, 1)]
    fleet.handle(instance, events.PeerSaid("b1", CrashNotice(crashes=counts)))


def test_request_that_arrives_before_the_second_crash_notice_is_refused() -> None:
    """Guard against a third crash caused by a late notice. The instance knows of one crash of the
    request. The caller, refused elsewhere after the second crash, repeats the request here just
    before the notice of that crash arrives. The request must be delayed for longer than a notice
    takes, and be refused when the notice arrives."""
    fleet = FakeFleet(ZONE_BY_INSTANCE)
    notify_crashes(fleet, "a1", "bad", "boot-1")
    fleet.send("a1", "r1", body="bad", service=ENGINE)
    assert not fleet.runs
    notify_crashes(fleet, "a1", "bad", "boot-1", "boot-2")
    assert fleet.read_answer("r1").code == "request_crashes_targets"
    assert fleet.read_answer("r1").verdict == "not_run"
    fleet.advance(1.0)
    assert not fleet.runs


def test_queued_request_is_refused_on_the_second_crash_notice() -> None:
    """The engine is full, so a request with one crash waits for a slot. When the notice of its
    second crash arrives it must be refused at once, and get none of the slots released later.
    """
    fleet = FakeFleet({"a1": "a"})
    notify_crashes(fleet, "a1", "bad", "boot-1")
    for number in range(200):
        fleet.send("a1", f"good-{number}", body=f"good-{number}", service=ENGINE)
    running = len(fleet.runs)
    assert running < 200
    fleet.send("a1", "r1", body="bad", service=ENGINE)
    fleet.advance(1.0)
    assert len(fleet.runs) == running
    notify_crashes(fleet, "a1", "bad", "boot-1", "boot-2")
    assert fleet.read_answer("r1").code == "request_crashes_targets"
    while fleet.runs:
        assert fleet.runs[0].action.request != "r1"
        fleet.finish(fleet.runs[0])


def test_suspect_with_one_crash_is_dispatched_after_the_delay() -> None:
    """A request with one crash is delayed only for about as long as a crash notice takes."""
    fleet = FakeFleet(ZONE_BY_INSTANCE)
    notify_crashes(fleet, "a1", "good", "boot-1")
    fleet.send("a1", "r1", body="good", service=ENGINE)
    fleet.advance(0.1)
    assert [run.action.request for run in fleet.runs] == ["r1"]


def test_command_is_not_sent_once_its_second_crash_is_known() -> None:
    """The notice of a command's second crash arrives while its claim is being written. The command
    must not be sent, and the caller must be told that it has not run."""
    fleet = FakeFleet(ZONE_BY_INSTANCE)
    fleet.send("a1", "r1", key="k1", body="bad")
    notify_crashes(fleet, "a1", "bad", "boot-1", "boot-2")
    fleet.settle()
    assert not fleet.runs
    assert fleet.read_answer("r1").code == "request_crashes_targets"
    assert fleet.read_answer("r1").verdict == "not_run"


def crash_on_part(fleet: FakeFleet, instance: str, request: str, *parts: str) -> None:
    """Send a chat whose engine crashes, and end it there: the retry is not answered."""
    crash_engine(fleet, dispatch_chat(fleet, instance, request, f"body of {request}", *parts))
    fleet.advance(0.1)
    if fleet.runs:
        fleet.handle(instance, events.CallerLeft(request))
        fleet.runs.clear()


# Guards against chats that are all different, and of which one message crashes each engine.
def test_a_message_that_crashes_engines_is_refused_in_other_chats() -> None:
    fleet = FakeFleet(ZONE_BY_INSTANCE)
    fleet.finish(dispatch_chat(fleet, "a1", "r0", "before", "system"))
    crash_on_part(fleet, "a1", "r1", "system", "bad")
    for name in ZONE_BY_INSTANCE:
        fleet.finish(dispatch_chat(fleet, name, f"sound-{name}", f"sound {name}", "system"))
    crash_on_part(fleet, "b1", "r2", "system", "bad")
    for name in ZONE_BY_INSTANCE:
        fleet.send(name, f"r3-{name}", body=f"new {name}", service=ENGINE, parts=("bad", "more"))
        assert fleet.read_answer(f"r3-{name}").code == "request_crashes_targets"
        fleet.finish(dispatch_chat(fleet, name, f"r4-{name}", f"good {name}", "system", "good"))


# Guards against refusing the system text of all chats for crashes of engines beside them.
def test_a_message_that_completes_anywhere_is_not_refused() -> None:
    fleet = FakeFleet(ZONE_BY_INSTANCE)
    crash_on_part(fleet, "a1", "r1", "system")
    fleet.finish(dispatch_chat(fleet, "a1", "r2", "sound", "system"))
    crash_on_part(fleet, "a1", "r3", "system")
    for name in ZONE_BY_INSTANCE:
        fleet.send(name, f"r4-{name}", body=f"new {name}", service=ENGINE, parts=("system",))
        fleet.advance(0.1)
        assert fleet.runs[-1].action.request == f"r4-{name}"
