"""Tests of faulty answers: delayed, misdirected, truncated or missing ones.

A caller must get the complete answer to its own request, or an error.
"""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from loadtool._gateway_config import BOUNDS
from standins._worker_types import make_response_body, make_stream_event
from tests.gateway.harness import GatewayFleet, Reply, run, start_fleet, wait_until

PROMPT = "aa11:400,bb22:9000,cc33:120"
EVENTS = 8


def join_events(body: bytes, first: int = 1, last: int = EVENTS) -> bytes:
    return b"".join(make_stream_event(body, number) for number in range(first, last + 1))


async def wait_until_one_engine_runs(fleet: GatewayFleet) -> tuple[str, str]:
    """Wait until one of two engines runs a request; return its name and the name of the other."""

    async def is_running() -> bool:
        stats = await fleet.read_all_stats("llm")
        return any(s.running for s in stats.values())

    await wait_until("a run", is_running)
    stats = await fleet.read_all_stats("llm")
    idle = next(name for name, s in stats.items() if not s.running)
    return next(name for name in stats if name != idle), idle


@pytest.mark.parametrize("fault", ["stray", "extra"])
def test_an_answer_to_another_request_never_reaches_a_caller(tmp_path: Path, fault: str) -> None:
    # A worker sends an answer twice. The duplicate arrives on the connection where the answer to
    # the next request is expected; only its request id shows that it does not belong to it.
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=1, engine_worker_count=1
        ) as fleet:
            await fleet.set_worker_faults("plain-0", **{fault: True})
            for number in range(6):
                path = f"/read/{number}"
                reply = await fleet.send_request(path)
                assert (reply.status, reply.body) == (200, make_response_body(b"", path))

    run(work)


# Guards against a command that runs twice (review/1): an answer with status 421 and the id of
# another request was taken for one to this request, which was sent to a second target while it ran.
@pytest.mark.parametrize("fault", ["stray", "extra"])
@pytest.mark.parametrize("path", ["/book/x", "/plan/stream"])
def test_a_misdirected_answer_to_another_request_is_discarded(
    tmp_path: Path, fault: str, path: str
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as fleet:
            service = "plain" if path == "/book/x" else "llm"
            await fleet.set_service_faults(service, stray_status=421, **{fault: True})
            for number in range(8):
                reply = await fleet.send_request(path, b"%d" % number, Prefix_Hash=PROMPT)
                assert (reply.status, reply.complete) == (200, True)
            stats = await fleet.read_all_stats(service)
            runs = [count for s in stats.values() for count in s.runs.values()]
            assert runs == [1] * 8

    run(work)


@pytest.mark.parametrize("fault", ["garbage", "truncate", "unsealed"])
@pytest.mark.parametrize(("path", "status"), [("/read/x", 200), ("/book/x", 502)])
def test_an_invalid_answer_is_replaced_if_the_request_may_run_again(
    tmp_path: Path, fault: str, path: str, status: int
) -> None:
    # A worker returns invalid answers. A read is retried at the other worker. A booking may have
    # run, so both workers return invalid answers for it: it must run only once, and its caller gets
    # 502 because the outcome is unknown.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.set_worker_faults("plain-0", **{fault: True})
            if status == 502:
                await fleet.set_worker_faults("plain-1", **{fault: True})
            body = b"tent" if status == 502 else b""
            for _ in range(4):
                reply = await fleet.send_request(path, body)
                assert reply.status == status
                assert "retry-after" not in reply.headers
            stats = await fleet.read_all_stats("plain")
            if status == 502:
                assert all(n == 1 for s in stats.values() for n in s.runs.values())

    run(work)


def test_a_body_without_a_length_is_complete_when_its_connection_closes(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=1, engine_worker_count=1
        ) as fleet:
            await fleet.set_worker_faults("plain-0", unframed=True)
            reply = await fleet.send_request("/read/x")
            assert (reply.status, reply.body) == (200, make_response_body(b"", "/read/x"))

    run(work)


# Guards against a read that fails since it is given up at a slow target when no other can take it.
def test_a_read_is_not_given_up_at_the_only_target(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=1, engine_worker_count=1
        ) as fleet:
            await fleet.set_worker_faults("plain-0", delay=0.5)
            assert (await fleet.send_request("/read/x")).status == 200
            # Another one is there now: given up after 0.18 s, the read is answered by it.
            await fleet.start_worker("plain-1", "plain", "zone-b")
            await fleet.set_worker_faults("plain-0", hang=True)
            await asyncio.sleep(0.5)
            sent_at = asyncio.get_running_loop().time()
            replies = await asyncio.gather(*(fleet.send_request(f"/read/{n}") for n in range(4)))
            assert [reply.status for reply in replies] == [200] * 4
            assert asyncio.get_running_loop().time() - sent_at < 1.0

    run(work)


# Guards against reads that fail since more of them are given up than the budget has retries for.
@pytest.mark.parametrize("slack", [0, 2])
def test_a_read_is_not_given_up_without_a_retry_in_the_budget(tmp_path: Path, slack: int) -> None:
    async def work() -> None:
        bounds = {**BOUNDS, "retryBudgetRatio": 0.0, "budgetSlack": slack}
        async with start_fleet(
            tmp_path, instances=1, settings_changes={"bounds": bounds}, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", delay=0.5)
            replies = await asyncio.gather(*(fleet.send_request(f"/read/{n}") for n in range(8)))
            assert [reply.status for reply in replies] == [200] * 8
            sent = [line for line in fleet.read_log("front-0") if line["event"] == "sent"]
            assert len(sent) == 8 + (slack > 0)

    run(work)


def test_a_stream_cut_within_an_event_is_resumed_at_another_engine(tmp_path: Path) -> None:
    # The engine's connection closes in the middle of the fourth event, when the caller has received
    # three. The other engine resumes after the third, and the caller must see one gapless stream.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=2) as fleet:
            await fleet.set_service_faults("llm", events=EVENTS, cut_after=3)
            reply_task = asyncio.ensure_future(
                fleet.send_request("/chat/stream", b"hi", Prefix_Hash=PROMPT)
            )
            busy, idle = await wait_until_one_engine_runs(fleet)
            await fleet.set_worker_faults(idle, cut_after=-1)
            reply = await reply_task
            assert (reply.status, reply.complete) == (200, True)
            assert reply.body == join_events(b"hi")
            assert reply.headers["response-seal"] == f"seal-{busy}"
            resumed = (await fleet.read_stats(idle)).seen[-1]
            assert resumed.headers["last-event-id"] == "3"

    run(work)


def test_events_repeated_by_a_second_engine_reach_the_caller_once(tmp_path: Path) -> None:
    # The engine that should resume after event 3 starts again with event 1.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=2) as fleet:
            await fleet.set_service_faults("llm", events=EVENTS, cut_after=3, repeat_events=True)
            reply_task = asyncio.ensure_future(
                fleet.send_request("/chat/stream", b"hi", Prefix_Hash=PROMPT)
            )
            _, idle = await wait_until_one_engine_runs(fleet)
            await fleet.set_worker_faults(idle, cut_after=-1)
            reply = await reply_task
            assert (reply.complete, reply.body) == (True, join_events(b"hi"))

    run(work)


def test_an_error_answer_to_a_resumption_is_not_appended_to_the_stream(tmp_path: Path) -> None:
    # The first engine's connection closes after event 3, and the engine that should resume answers
    # with an error. The caller has already received the head and three events, so no second head
    # can follow: its stream must be aborted, and the instance must log this as a failure of the
    # target and not as an internal error.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=2) as fleet:
            await fleet.set_service_faults("llm", events=EVENTS, cut_after=3)
            reply_task = asyncio.ensure_future(
                fleet.send_request("/chat/stream", b"hi", Prefix_Hash=PROMPT)
            )
            _, idle = await wait_until_one_engine_runs(fleet)
            await fleet.set_worker_faults(idle, status=500)
            reply = await reply_task
            assert (reply.status, reply.complete) == (200, False)
            assert reply.body == join_events(b"hi", 1, 3)
            ends = [line for line in fleet.read_log("front-0") if line["event"] == "ended"]
            assert ends[-1]["outcome"] == "cut: target_failed"

    run(work)


def test_a_rejection_after_an_invalid_answer_is_not_reported_as_not_run(tmp_path: Path) -> None:
    # One worker ran the read and truncated its answer, the other rejects it. Status 503 would claim
    # that the read was not run.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.set_worker_faults("plain-0", truncate=True)
            await fleet.set_worker_faults("plain-1", reject=True)
            seen: set[int] = set()
            for _ in range(8):
                seen.add((await fleet.send_request("/read/x")).status)
            stats = await fleet.read_stats("plain-0")
            assert stats.runs and seen == {502}

    run(work)


def test_a_stream_is_resumed_promptly_when_its_engine_is_partitioned(tmp_path: Path) -> None:
    """A network partition cuts off an engine during a stream: neither data nor a reset arrives.

    The engine does not accept a new connection either, which distinguishes it from a busy engine.
    If it were given the time of a busy engine, the caller would see a pause of a second.
    """

    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, engine_worker_count=1, use_proxy_routes=True
        ) as fleet:
            await fleet.set_service_faults("llm", events=40, event_gap=0.05)
            reply_task = asyncio.ensure_future(
                fleet.send_request("/chat/stream", b"hi", Prefix_Hash=PROMPT, Deadline_Ms="3000")
            )
            await asyncio.sleep(0.5)
            await fleet.start_worker("engine-1", "llm", "zone-b")
            await fleet.set_worker_faults("engine-1", events=40, event_gap=0.0)
            await asyncio.sleep(0.3)
            partitioned_at = asyncio.get_running_loop().time()
            route = fleet.workers["engine-0"].advertised_port
            await fleet.set_route_faults(route, freeze=True, listening="closed")
            reply = await reply_task
            assert reply.complete and reply.body == join_events(b"hi", last=40)
            assert asyncio.get_running_loop().time() - partitioned_at < 0.8

    run(work)


def test_a_stalled_stream_is_resumed_at_another_engine(tmp_path: Path) -> None:
    # The engine's connection stays open, but no more data arrives on it.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=2) as fleet:
            await fleet.set_service_faults("llm", events=EVENTS, stall_after=2)
            reply_task = asyncio.ensure_future(
                fleet.send_request("/chat/stream", b"hi", Prefix_Hash=PROMPT, Deadline_Ms="3000")
            )
            await asyncio.sleep(0.5)
            stats = await fleet.read_all_stats("llm")
            idle = next(name for name, s in stats.items() if not s.running)
            stalled = next(name for name in stats if name != idle)
            await fleet.set_worker_faults(idle, stall_after=-1)
            reply = await reply_task
            assert (reply.complete, reply.body) == (True, join_events(b"hi"))
            assert (await fleet.read_stats(stalled)).running == 0

    run(work)


def test_a_stream_that_must_not_be_resumed_is_visibly_truncated(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=2) as fleet:
            await fleet.set_service_faults("llm", events=EVENTS, cut_after=3)
            reply = await fleet.send_request("/plan/stream", b"hi", Prefix_Hash=PROMPT)
            assert (reply.status, reply.complete) == (200, False)
            assert reply.body == join_events(b"hi", 1, 3)
            stats = await fleet.read_all_stats("llm")
            assert sum(n for s in stats.values() for n in s.runs.values()) == 1

    run(work)


def test_a_caller_that_resumes_a_stream_itself_gets_the_rest(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.set_service_faults("llm", events=EVENTS)
            reply = await fleet.send_request(
                "/chat/stream", b"hi", Prefix_Hash=PROMPT, Last_Event_Id="5"
            )
            assert reply.body == join_events(b"hi", 6)

    run(work)


def test_a_stream_is_cancelled_soon_after_its_caller_disconnects(tmp_path: Path) -> None:
    # The caller closes its connection in the middle of a stream. Without a cancellation, the engine
    # would continue for seconds to produce events that nobody reads.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.set_service_faults("llm", events=200, event_gap=0.05)
            reply_task = asyncio.ensure_future(
                fleet.send_request("/plan/stream", b"hi", Prefix_Hash=PROMPT)
            )

            async def is_running() -> bool:
                return (await fleet.read_stats("engine-0")).running == 1

            await wait_until("a run", is_running)
            reply_task.cancel()

            async def is_cancelled() -> bool:
                stats = await fleet.read_stats("engine-0")
                return stats.running == 0 and stats.cancelled == 1

            await wait_until("the end of the run", is_cancelled, 0.5)

    run(work)


def test_a_large_body_that_is_answered_early_is_sent_completely_or_not_at_all(
    tmp_path: Path,
) -> None:
    # The worker rejects the request after reading only its head, and reads the body afterwards. If
    # the connection were reused before the body was sent, the worker would take the bytes of the
    # next request for the rest of the body, or parse a request that nobody sent.
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=1, engine_worker_count=1
        ) as fleet:
            await fleet.set_worker_faults("plain-0", early=True)
            large_body = b"x" * 900_000
            reply = await fleet.send_request("/book/x", large_body)
            assert reply.status == 503 and "retry-after" in reply.headers
            await fleet.set_worker_faults("plain-0", early=False)
            assert (await fleet.send_request("/book/y", b"short")).status == 200
            stats = await fleet.read_stats("plain-0")
            assert {seen.body for seen in stats.seen} <= {large_body.decode(), "short"}

    run(work)


def test_a_request_smuggled_in_a_body_is_not_run(tmp_path: Path) -> None:
    # A request states the length of its body in two contradictory ways. A receiver that uses one of
    # them sees a single request; a receiver that uses the other sees a second one in its body.
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=1, engine_worker_count=1
        ) as fleet:
            hidden = b"GET /read/hidden HTTP/1.1\r\nHost: chats.example\r\n\r\n"
            chunked = b"0\r\n\r\n" + hidden
            instance = fleet.instances["front-0"]
            reader, writer = await asyncio.open_connection(*instance.front_address)
            head = (
                "POST /book/x HTTP/1.1\r\nHost: chats.example\r\nAttempt-Id: outer\r\n"
                "X-Api-Key: key-of-the-pilgrims\r\nTransfer-Encoding: chunked\r\n"
                f"Content-Length: {len(chunked)}\r\n\r\n"
            )
            writer.write(head.encode() + chunked)
            answer = await asyncio.wait_for(reader.read(), 5.0)
            writer.close()
            assert answer.startswith(b"HTTP/1.1 400")
            assert (await fleet.read_stats("plain-0")).seen == []

    run(work)


def test_invalid_headers_are_refused_with_status_400(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=1, engine_worker_count=1
        ) as fleet:
            for headers in ({"Deadline_Ms": "soon"}, {"Attempt_Id": ""}, {"Deadline_Ms": "-1"}):
                reply: Reply = await fleet.send_request("/read/x", **headers)
                assert reply.status == 400
                assert json.loads(reply.body)["verdict"] == "not_run"

    run(work)


# Guards against a request that goes on after its answer, a failure that was passed on since the
# budget had no retry left: its connection was ended, or a second answer followed on it.
def test_a_failure_that_is_passed_on_ends_its_request(tmp_path: Path) -> None:
    async def work() -> None:
        bounds = {**BOUNDS, "retryBudgetRatio": 0.0, "budgetSlack": 0}
        async with start_fleet(
            tmp_path, instances=1, settings_changes={"bounds": bounds}, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", status=500)
            replies = [await fleet.send_request(f"/read/{n}") for n in range(4)]
            assert [(reply.status, reply.complete) for reply in replies] == [(500, True)] * 4

            # An end is logged after its answer was sent.
            async def are_ended() -> bool:
                return len(read_outcomes()) == 4

            def read_outcomes() -> list[str]:
                lines = fleet.read_log("front-0")
                return [str(line["outcome"]) for line in lines if line["event"] == "ended"]

            await wait_until("the ends are logged", are_ended)
            assert read_outcomes() == ["failed"] * 4

    run(work)
