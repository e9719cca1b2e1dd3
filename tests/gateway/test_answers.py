"""Answers late, crossed, cut short or no answers: callers get their own and whole, or none."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from standins._worker import make_body, make_event
from tests.gateway.harness import Fleet, Reply, run, start_fleet, wait_until

PROMPT = "aa11:400,bb22:9000,cc33:120"
EVENTS = 8


def join_events(body: bytes, first: int = 1, last: int = EVENTS) -> bytes:
    return b"".join(make_event(body, number) for number in range(first, last + 1))


async def wait_for_run(fleet: Fleet) -> tuple[str, str]:
    """Wait until one of two engines runs a request; gives its name and the other's."""

    async def is_running() -> bool:
        stats = await fleet.read_all_stats("llm")
        return any(s.running for s in stats.values())

    await wait_until("a run", is_running)
    stats = await fleet.read_all_stats("llm")
    idle = next(name for name, s in stats.items() if not s.running)
    return next(name for name in stats if name != idle), idle


@pytest.mark.parametrize("fault", ["stray", "extra"])
def test_an_answer_to_another_request_never_reaches_a_caller(tmp_path: Path, fault: str) -> None:
    # A worker sends an answer twice. The second one lies on the connection where the answer to
    # the next request is due; its id tells that it belongs to nobody who waits there.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plains=1, engines=1) as fleet:
            await fleet.set_worker("plain-0", **{fault: True})
            for number in range(6):
                path = f"/read/{number}"
                reply = await fleet.ask(path)
                assert (reply.status, reply.body) == (200, make_body(b"", path))

    run(work)


@pytest.mark.parametrize("fault", ["garbage", "truncate", "unsealed"])
@pytest.mark.parametrize(("path", "status"), [("/read/x", 200), ("/book/x", 502)])
def test_a_spoilt_answer_is_replaced_where_the_request_may_run_again(
    tmp_path: Path, fault: str, path: str, status: int
) -> None:
    # One of two workers spoils its answers. A read is asked for at the other one; a booking may
    # have run, so its caller is told that nothing is known of it, and it runs once.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            await fleet.set_worker("plain-0", **{fault: True})
            if status == 502:
                await fleet.set_worker("plain-1", **{fault: True})
            body = b"tent" if status == 502 else b""
            for _ in range(4):
                reply = await fleet.ask(path, body)
                assert reply.status == status
                assert "retry-after" not in reply.headers
            stats = await fleet.read_all_stats("plain")
            if status == 502:
                assert all(n == 1 for s in stats.values() for n in s.runs.values())

    run(work)


def test_a_body_without_a_length_is_whole_when_its_connection_ends(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plains=1, engines=1) as fleet:
            await fleet.set_worker("plain-0", unframed=True)
            reply = await fleet.ask("/read/x")
            assert (reply.status, reply.body) == (200, make_body(b"", "/read/x"))

    run(work)


def test_a_stream_that_is_cut_within_an_event_goes_on_at_another_engine(tmp_path: Path) -> None:
    # The engine's connection ends in the middle of the fourth event. The caller has had three;
    # the other engine goes on after the third, and the caller sees one stream without a seam.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=2) as fleet:
            await fleet.set_workers("llm", events=EVENTS, cut_after=3)
            asked = asyncio.ensure_future(fleet.ask("/chat/stream", b"hi", Prefix_Hash=PROMPT))
            busy, idle = await wait_for_run(fleet)
            await fleet.set_worker(idle, cut_after=-1)
            reply = await asked
            assert (reply.status, reply.whole) == (200, True)
            assert reply.body == join_events(b"hi")
            assert reply.headers["response-seal"] == f"seal-{busy}"
            resumed = (await fleet.read_stats(idle)).seen[-1]
            assert resumed.headers["last-event-id"] == "3"

    run(work)


def test_events_that_a_second_engine_repeats_reach_the_caller_once(tmp_path: Path) -> None:
    # The engine that is to go on after event 3 begins with event 1 again.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=2) as fleet:
            await fleet.set_workers("llm", events=EVENTS, cut_after=3, repeat_events=True)
            asked = asyncio.ensure_future(fleet.ask("/chat/stream", b"hi", Prefix_Hash=PROMPT))
            _, idle = await wait_for_run(fleet)
            await fleet.set_worker(idle, cut_after=-1)
            reply = await asked
            assert (reply.whole, reply.body) == (True, join_events(b"hi"))

    run(work)


def test_a_failure_in_place_of_the_rest_of_a_stream_is_not_joined_to_it(tmp_path: Path) -> None:
    # The first engine breaks off after event 3, and the one that is to go on answers with a
    # failure of its own. The caller has the head and three events: a second head cannot follow,
    # so it sees the stream cut, and the instance takes that for what it is and no fault of its own.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=2) as fleet:
            await fleet.set_workers("llm", events=EVENTS, cut_after=3)
            asked = asyncio.ensure_future(fleet.ask("/chat/stream", b"hi", Prefix_Hash=PROMPT))
            _, idle = await wait_for_run(fleet)
            await fleet.set_worker(idle, status=500)
            reply = await asked
            assert (reply.status, reply.whole) == (200, False)
            assert reply.body == join_events(b"hi", 1, 3)
            ends = [line for line in fleet.read_log("front-0") if line["event"] == "ended"]
            assert ends[-1]["outcome"] == "cut: target_failed"

    run(work)


def test_a_rejection_after_a_spoilt_answer_is_no_word_that_nothing_ran(tmp_path: Path) -> None:
    # One worker ran the read and spoilt its answer, the other rejects it. 503 would say that it
    # has not run.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            await fleet.set_worker("plain-0", truncate=True)
            await fleet.set_worker("plain-1", reject=True)
            seen: set[int] = set()
            for _ in range(8):
                seen.add((await fleet.ask("/read/x")).status)
            stats = await fleet.read_stats("plain-0")
            assert stats.runs and seen == {502}

    run(work)


def test_a_stream_goes_on_at_once_when_the_way_to_its_engine_is_cut(tmp_path: Path) -> None:
    """The zone of an engine is cut off in the middle of a stream: no byte comes, and no reset.

    The engine takes no new connection either, which tells the cut from a busy engine. Waited for
    like one, it would cost the caller a pause of a second.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1, routed=True) as fleet:
            await fleet.set_workers("llm", events=40, event_gap=0.05)
            asked = asyncio.ensure_future(
                fleet.ask("/chat/stream", b"hi", Prefix_Hash=PROMPT, Deadline_Ms="3000")
            )
            await asyncio.sleep(0.5)
            await fleet.start_worker("engine-1", "llm", "zone-b")
            await fleet.set_worker("engine-1", events=40, event_gap=0.0)
            await asyncio.sleep(0.3)
            cut_at = asyncio.get_running_loop().time()
            route = fleet.workers["engine-0"].reached_at
            await fleet.set_route(route, freeze=True, deaf=True)
            reply = await asked
            assert reply.whole and reply.body == join_events(b"hi", last=40)
            assert asyncio.get_running_loop().time() - cut_at < 0.8

    run(work)


def test_a_stream_that_falls_silent_goes_on_at_another_engine(tmp_path: Path) -> None:
    # The engine's connection stays open and brings nothing more.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=2) as fleet:
            await fleet.set_workers("llm", events=EVENTS, stall_after=2)
            asked = asyncio.ensure_future(
                fleet.ask("/chat/stream", b"hi", Prefix_Hash=PROMPT, Deadline_Ms="3000")
            )
            await asyncio.sleep(0.5)
            stats = await fleet.read_all_stats("llm")
            idle = next(name for name, s in stats.items() if not s.running)
            stalled = next(name for name in stats if name != idle)
            await fleet.set_worker(idle, stall_after=-1)
            reply = await asked
            assert (reply.whole, reply.body) == (True, join_events(b"hi"))
            assert (await fleet.read_stats(stalled)).running == 0

    run(work)


def test_a_stream_that_may_not_be_resumed_ends_visibly_cut(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=2) as fleet:
            await fleet.set_workers("llm", events=EVENTS, cut_after=3)
            reply = await fleet.ask("/plan/stream", b"hi", Prefix_Hash=PROMPT)
            assert (reply.status, reply.whole) == (200, False)
            assert reply.body == join_events(b"hi", 1, 3)
            stats = await fleet.read_all_stats("llm")
            assert sum(n for s in stats.values() for n in s.runs.values()) == 1

    run(work)


def test_a_caller_that_resumes_a_stream_itself_gets_the_rest(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            await fleet.set_workers("llm", events=EVENTS)
            reply = await fleet.ask("/chat/stream", b"hi", Prefix_Hash=PROMPT, Last_Event_Id="5")
            assert reply.body == join_events(b"hi", 6)

    run(work)


def test_work_ends_soon_after_its_caller_has_gone(tmp_path: Path) -> None:
    # The caller closes its connection in the middle of a stream. The engine would go on for
    # seconds on what nobody reads.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            await fleet.set_workers("llm", events=200, event_gap=0.05)
            asked = asyncio.ensure_future(fleet.ask("/plan/stream", b"hi", Prefix_Hash=PROMPT))

            async def runs() -> bool:
                return (await fleet.read_stats("engine-0")).running == 1

            await wait_until("a run", runs)
            asked.cancel()

            async def has_ended() -> bool:
                stats = await fleet.read_stats("engine-0")
                return stats.running == 0 and stats.cancelled == 1

            await wait_until("the end of the run", has_ended, 0.5)

    run(work)


def test_a_long_body_that_is_answered_early_is_sent_to_its_end_or_not_at_all(
    tmp_path: Path,
) -> None:
    # The worker rejects from the head alone and reads the body afterwards. Other bytes in its
    # place would be read as the body, or as a request that nobody sent.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plains=1, engines=1) as fleet:
            await fleet.set_worker("plain-0", early=True)
            long = b"x" * 900_000
            reply = await fleet.ask("/book/x", long)
            assert reply.status == 503 and "retry-after" in reply.headers
            await fleet.set_worker("plain-0", early=False)
            assert (await fleet.ask("/book/y", b"short")).status == 200
            stats = await fleet.read_stats("plain-0")
            assert {seen.body for seen in stats.seen} <= {long.decode(), "short"}

    run(work)


def test_requests_within_requests_are_not_run(tmp_path: Path) -> None:
    # A body whose length is told in two ways hides a second request from whoever goes by the
    # one, and shows it to whoever goes by the other.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plains=1, engines=1) as fleet:
            hidden = b"GET /read/hidden HTTP/1.1\r\nHost: chats.example\r\n\r\n"
            chunked = b"0\r\n\r\n" + hidden
            node = fleet.instances["front-0"]
            reader, writer = await asyncio.open_connection(*node.callers)
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


def test_an_unframed_request_and_wrong_headers_are_refused_clearly(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plains=1, engines=1) as fleet:
            for headers in ({"Deadline_Ms": "soon"}, {"Attempt_Id": ""}, {"Deadline_Ms": "-1"}):
                reply: Reply = await fleet.ask("/read/x", **headers)
                assert reply.status == 400
                assert json.loads(reply.body)["verdict"] == "not_run"

    run(work)
