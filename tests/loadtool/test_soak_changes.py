"""Tests of the soak's changes of the configuration: its checks on made-up records, a short run."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest

from loadtool._soak import SoakOptions, format_result, make_soak_layout, run_soak
from loadtool._soak_changes import make_change_schedule
from loadtool._soak_changes_checks import (
    ChangeRecord,
    ConfigChange,
    IdleClose,
    KeptRequest,
    RequestEnd,
    find_change_violations,
)
from loadtool._soak_checks import Period, RequestOutcome, RunRecord
from loadtool._soak_kept import KeptConnection
from loadtool._soak_schedule import ScheduledSoakFault, SoakFault
from standins._worker_types import Arrival

STARTED = 100.0
SENT_AT = 110.0
INSTANCE_COUNT = 4
RUN_DURATION_S = 25.0


def find_guarantees(
    end: RequestEnd,
    duration: float,
    *,
    is_passed_on: bool = False,
    faults: tuple[ScheduledSoakFault, ...] = (),
    route_timeout: float = 3.0,
) -> list[str]:
    """Return which guarantees a request violated that ended so, long after its sending."""
    outcome = RequestOutcome("r1", "plan", "front-0", "key", "/plan/1", b"b", SENT_AT)
    outcome.ended_at = SENT_AT + duration
    change = ConfigChange(0.0, 0.0, 1.0, route_timeout)
    changes = ChangeRecord([KeptRequest(outcome, end, SENT_AT - 0.8)], changes=[change])
    arrival = Arrival("r1", "plain-0", SENT_AT + 0.1, True, "POST", "/plan/1", "pilgrims")
    record = RunRecord(STARTED, [outcome], list(faults))
    lines = find_change_violations(record, changes, [arrival] if is_passed_on else [])
    return [line.partition(":")[0] for line in lines]


def make_fault(fault: SoakFault, victim: str, until: float = 10.9) -> ScheduledSoakFault:
    return ScheduledSoakFault(10.0, until, fault, victim)


# Guards against a check that takes a request that was read or passed on for one that crossed a
# close, or a suspension for an excuse.
@pytest.mark.parametrize(
    ("end", "duration", "is_passed_on", "fault", "found"),
    [
        (RequestEnd.READ, 0.9, False, None, ["unanswered"]),
        (RequestEnd.READ, 0.01, False, None, ["unanswered"]),
        (RequestEnd.READ, 0.9, False, make_fault(SoakFault.PAUSE, "front-0"), ["unanswered"]),
        (RequestEnd.READ, 0.9, False, make_fault(SoakFault.STOP, "front-0"), ["unanswered"]),
        (RequestEnd.READ, 0.9, False, make_fault(SoakFault.KILL, "front-1"), ["unanswered"]),
        (RequestEnd.READ, 0.9, False, make_fault(SoakFault.KILL, "front-0"), []),
        (RequestEnd.READ, 1.5, False, None, []),
        (RequestEnd.UNREAD, 0.1, True, None, ["unanswered"]),
        (RequestEnd.UNREAD, 0.1, False, None, []),
        (RequestEnd.SILENT, 4.0, False, None, ["unanswered"]),
        (RequestEnd.SILENT, 4.0, True, make_fault(SoakFault.PAUSE, "front-0"), ["unanswered"]),
        (RequestEnd.ANSWERED, 0.9, True, None, []),
    ],
)
def test_requests_without_an_answer_are_found(
    end: RequestEnd,
    duration: float,
    is_passed_on: bool,
    fault: ScheduledSoakFault | None,
    found: list[str],
) -> None:
    faults = () if fault is None else (fault,)
    assert find_guarantees(end, duration, is_passed_on=is_passed_on, faults=faults) == found


# Guards against a check that blames an instance for a caller that gave up while it did not run.
@pytest.mark.parametrize(("instance", "found"), [("front-0", 0), ("front-1", 1)])
def test_silence_while_an_instance_did_not_run_is_excused(instance: str, found: int) -> None:
    outcome = RequestOutcome("r1", "plan", "front-0", "key", "/plan/1", b"b", SENT_AT, SENT_AT + 4)
    changes = ChangeRecord([KeptRequest(outcome, RequestEnd.SILENT, 0.0)])
    changes.late = [Period(instance, SENT_AT + 0.5, SENT_AT + 1.6)]
    assert len(find_change_violations(RunRecord(STARTED, [outcome]), changes, [])) == found
    changes.late = [Period(instance, SENT_AT - 0.5, SENT_AT + 0.6)]
    assert len(find_change_violations(RunRecord(STARTED, [outcome]), changes, [])) == 1


# Guards against a check that excuses an answer that was cut for a target's silence.
def test_answers_that_are_cut_are_found() -> None:
    def find_cut(duration: float = 0.6, route_timeout: float = 3.0, *faults: SoakFault) -> int:
        at_target = tuple(make_fault(fault, "plain-0") for fault in faults)
        guarantees = find_guarantees(
            RequestEnd.CUT,
            duration,
            is_passed_on=True,
            faults=at_target,
            route_timeout=route_timeout,
        )
        return guarantees.count("cut")

    assert find_cut() == find_cut(0.6, 3.0, SoakFault.TARGET_PAUSED) == 1
    assert find_cut(0.6, 3.0, SoakFault.TARGET_CUTS) == 0
    # Seven tenths of the time that the deadline or the route leaves are used.
    assert find_cut(1.5) == find_cut(0.8, 1.0) == 0


# Guards against connections that are closed by a time-out that a change has lengthened.
@pytest.mark.parametrize(
    ("at", "idle_s", "found"),
    [(108.0, 4.0, 0), (113.4, 4.0, 1), (113.4, 12.1, 0), (105.0, 1.0, 1)],
)
def test_connections_that_are_closed_too_early_are_found(
    at: float, idle_s: float, found: int
) -> None:
    changes = [ConfigChange(100.0, 100.0, 4.0, 3.0), ConfigChange(109.9, 110.0, 15.0, 3.0)]
    changes_record = ChangeRecord([], [IdleClose("front-0", at - idle_s, at)], changes)
    record = RunRecord(STARTED)
    assert len(find_change_violations(record, changes_record, [])) == found
    record.scheduled_faults = [ScheduledSoakFault(1.0, 20.0, SoakFault.STORE_SILENT, "store")]
    assert find_change_violations(record, changes_record, []) == []


# Guards against taking a request that a server had read for one that crossed its close.
@pytest.mark.parametrize(("reads", "end"), [(True, RequestEnd.READ), (False, RequestEnd.UNREAD)])
def test_a_caller_sees_whether_its_request_was_read(reads: bool, end: RequestEnd) -> None:
    async def call() -> RequestEnd:
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = listener.getsockname()
            _, connection = await loop.create_connection(lambda: KeptConnection("x"), *address)
            server, _ = listener.accept()

            def close() -> None:
                if reads:
                    server.recv(4096)
                server.close()

            loop.call_later(0.1, close)
            outcome = RequestOutcome("r1", "read", "x", "key", "/read/1", b"", 0.0)
            await connection.exchange(outcome, {"Host": "h"})
            try:
                return await connection.find_end(outcome)
            finally:
                connection.close()

    assert asyncio.run(call()) is end


# Guards against runs that cannot be repeated from the seed in a report.
def test_the_same_seed_gives_the_same_changes() -> None:
    layout = make_soak_layout(INSTANCE_COUNT)
    schedule = make_change_schedule(7, RUN_DURATION_S, layout)
    assert schedule == make_change_schedule(7, RUN_DURATION_S, layout)
    assert schedule != make_change_schedule(8, RUN_DURATION_S, layout)


# Guards against an expired idle time-out that wins over a request that was already received while
# the event loop was late. On 46cb789 seed 4 lost 45, 31 and 15 requests in three runs.
@pytest.mark.xdist_group("soak")
@pytest.mark.parametrize("seed", [4])
def test_no_request_is_lost_while_the_configuration_changes(seed: int, tmp_path: Path) -> None:
    """Idle time-outs go up and down while instances and targets are suspended."""
    options = SoakOptions(has_config_changes=True)
    result = asyncio.run(run_soak(seed, RUN_DURATION_S, INSTANCE_COUNT, tmp_path, options))
    print(format_result(result))
    assert result.violations == []
