"""Bookings: at most one run of each, and a word on it that is true."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import pytest

from tests.gateway.harness import make_config, run, start_fleet


def test_a_rejected_booking_is_refused_as_not_run(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            await fleet.set_workers("plain", reject=True)
            reply = await fleet.ask("/book/x", b"tent")
            assert reply.status == 503
            assert json.loads(reply.body)["verdict"] == "not_run"
            # A quarter of the two seconds that the caller has at the most.
            assert 0 < float(reply.headers["retry-after"]) <= 0.5

    run(work)


def test_a_booking_without_an_answer_may_have_run_and_is_not_sent_again(tmp_path: Path) -> None:
    # The worker takes the booking and falls silent. At the route's time-out the caller is told
    # that it may have run; no other worker ever gets it.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            await fleet.set_workers("plain", hang=True)
            loop = asyncio.get_running_loop()
            began = loop.time()
            reply = await fleet.ask("/book/x", b"tent", Deadline_Ms="1000")
            assert reply.status == 504
            assert json.loads(reply.body)["verdict"] == "may_have_run"
            assert 0.9 < loop.time() - began < 1.3
            stats = await fleet.read_all_stats("plain")
            assert sum(n for s in stats.values() for n in s.runs.values()) == 1

    run(work)


def test_a_route_s_time_out_ends_a_request_before_the_caller_s_deadline(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            config = make_config(2)
            for route in config["routes"]:
                route["timeoutMs"] = 600
            await fleet.write_row("op", "config", config)
            await asyncio.sleep(0.5)
            await fleet.set_workers("plain", hang=True)
            loop = asyncio.get_running_loop()
            began = loop.time()
            assert (await fleet.ask("/book/x", b"tent", Deadline_Ms="9000")).status == 504
            assert loop.time() - began < 0.9

    run(work)


def test_a_booking_at_a_worker_that_takes_no_connection_goes_to_another(tmp_path: Path) -> None:
    # Nothing was written to the first one, so the booking cannot have run there.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            await fleet.workers["plain-0"].process.kill()
            for _ in range(4):
                assert (await fleet.ask("/book/x", b"tent")).status == 200
            assert len((await fleet.read_stats("plain-1")).runs) == 4

    run(work)


def test_a_stranger_at_a_worker_s_address_does_not_run_its_requests(tmp_path: Path) -> None:
    # A worker is gone and its address belongs to another one, before the list says so.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plains=1, engines=1) as fleet:
            gone = fleet.workers["plain-0"]
            await fleet.start_worker("stranger", "other", "zone-a")
            stranger = fleet.workers["stranger"].port
            await fleet.register(gone.name, address=f"127.0.0.1:{stranger}")
            await asyncio.sleep(0.4)
            reply = await fleet.ask("/book/x", b"tent")
            assert reply.status == 503
            assert (await fleet.read_stats("stranger")).runs == {}

    run(work)


def test_a_failure_of_the_worker_s_own_is_passed_on_with_its_seal(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plains=1, engines=1) as fleet:
            await fleet.set_worker("plain-0", status=500)
            reply = await fleet.ask("/book/x", b"tent")
            assert (reply.status, reply.body) == (500, b"failed")
            assert reply.headers["response-seal"] == "seal-plain-0"
            # A 503 without the word that nothing ran would be a false promise.
            await fleet.set_worker("plain-0", status=503)
            reply = await fleet.ask("/book/x", b"tent")
            assert reply.status == 502 and "response-seal" not in reply.headers

    run(work)


def test_the_end_of_an_instance_cuts_no_booking(tmp_path: Path) -> None:
    # The instance is told to stop while a booking runs. It goes out of rotation at once, answers
    # the booking, and ends by itself.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            await fleet.set_workers("plain", delay=1.0)
            asked = asyncio.ensure_future(fleet.ask("/book/x", b"tent"))
            await asyncio.sleep(0.3)
            node = fleet.instances["front-0"]
            assert node.process is not None
            ended = asyncio.ensure_future(node.process.stop(8.0))
            await asyncio.sleep(0.2)
            ready = await fleet.call((node.ip, fleet._ports["ready"]), "GET", "/ready")
            assert ready.status == 503
            # The balancer has not noticed yet and sends one more.
            late = await fleet.ask("/book/y", b"tent")
            assert late.status == 200 and late.headers.get("connection") == "close"
            assert (await asked).status == 200
            assert await ended == 0

    run(work)


def test_no_booking_goes_over_a_connection_on_which_one_was_rejected(tmp_path: Path) -> None:
    # A worker rejects a booking and closes the connection as the next one comes over it. That one
    # has not run, but nobody could tell, and its caller would get 502 for no reason.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plains=1, engines=1) as fleet:
            await fleet.set_worker("plain-0", reject=True, drop_idle=True)
            assert (await fleet.ask("/book/x", b"tent")).status == 503
            await fleet.set_worker("plain-0", reject=False)
            assert (await fleet.ask("/book/y", b"tent")).status == 200

    run(work)


def test_the_end_of_an_instance_waits_for_a_long_booking(tmp_path: Path) -> None:
    # The booking takes longer than the balancer needs to take the instance out.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            config = make_config(2)
            for route in config["routes"]:
                route["timeoutMs"] = 9_000
            await fleet.write_row("op", "config", config)
            await fleet.set_workers("plain", delay=4.0)
            await asyncio.sleep(0.5)
            asked = asyncio.ensure_future(fleet.ask("/book/x", b"tent", Deadline_Ms="8000"))
            await asyncio.sleep(0.3)
            node = fleet.instances["front-0"]
            assert node.process is not None
            assert await node.process.stop(8.0) == 0
            assert (await asked).status == 200

    run(work)


def test_orders_to_stop_that_are_repeated_do_not_spoil_a_planned_stop(tmp_path: Path) -> None:
    # Whoever stops an instance repeats the order until it has ended. One that came just before the
    # end killed the process, and the planned stop looked like a crash.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            process = fleet.instances["front-0"].process
            assert process is not None
            while process.running:
                process.send(signal.SIGTERM)
                await asyncio.sleep(0.002)
            assert process.process.returncode == 0

    run(work)


@pytest.mark.parametrize("rest", [0.7, 0.3])
def test_a_booking_does_not_go_over_a_connection_that_may_be_closing(
    tmp_path: Path, rest: float
) -> None:
    # A worker closes connections that have idled, as the next request arrives. Nobody could tell
    # whether that request ran; a booking would fail with 502 for no reason.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plains=1, engines=1) as fleet:
            await fleet.set_worker("plain-0", drop_idle=True)
            for _ in range(3):
                assert (await fleet.ask("/book/x", b"tent")).status == 200
                await asyncio.sleep(rest)

    run(work)


def test_reads_meet_few_forgotten_connections(tmp_path: Path) -> None:
    # Both workers forget connections that have rested. The first reads find that out and are sent
    # once more; the others go over new connections, where each would be broken off once before.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plains=2, engines=1) as fleet:
            await fleet.set_workers("plain", drop_idle=True)
            for _ in range(8):
                assert (await fleet.ask("/read/x")).status == 200
                await asyncio.sleep(0.3)
            events = [line["event"] for line in fleet.read_log("front-0")]
            assert 1 <= events.count("idle_connection_dead") <= 3

    run(work)


def test_a_request_that_crashes_workers_is_refused_at_every_instance(tmp_path: Path) -> None:
    # Its caller sends it again each time, to one instance after the other. Each crash costs all
    # that the worker runs, so after two it is refused everywhere.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, plains=4, engines=1) as fleet:
            await fleet.set_workers("plain", crash_on="poison")
            for number in range(6):
                name = f"front-{number % 2}"
                await fleet.ask("/book/x", b"poison", instance=name)
                await asyncio.sleep(0.5)
            left = [n for n in fleet.workers.values() if n.service == "plain" and n.process.running]
            assert len(left) == 2
            assert (await fleet.ask("/book/x", b"poison")).status == 503
            assert (await fleet.ask("/book/x", b"sound")).status == 200

    run(work)


def test_targets_that_go_together_blame_no_request(tmp_path: Path) -> None:
    # A zone is cut off and refuses connections: every request at its targets is broken off, and
    # none of them takes a new connection. It happens twice to the same booking, which its caller
    # sends again. One request cannot have crashed several targets at once.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plains=6, engines=1) as fleet:
            await fleet.set_workers("plain", hang=True)
            for _ in range(2):
                bodies = (b"tent", b"ghat", b"ration")
                asked = [asyncio.ensure_future(fleet.ask("/book/x", body)) for body in bodies]
                await asyncio.sleep(0.3)
                stats = await fleet.read_all_stats("plain")
                busy = [name for name, s in stats.items() if s.running]
                assert len(busy) == 3
                await asyncio.gather(*(fleet.workers[name].process.kill() for name in busy))
                assert [reply.status for reply in await asyncio.gather(*asked)] == [502] * 3
                for name in busy:
                    del fleet.workers[name]
            await asyncio.sleep(0.6)
            await fleet.start_worker("plain-9", "plain", "zone-a")
            await asyncio.sleep(0.4)
            assert (await fleet.ask("/book/x", b"tent")).status == 200

    run(work)


def test_a_booking_whose_caller_gave_up_while_the_instance_stood_still_is_not_sent(
    tmp_path: Path,
) -> None:
    # The instance is frozen as the booking comes. The caller waits for its deadline and goes. When
    # the instance goes on, the request and the end of its connection lie there together; sent on,
    # the booking would run with nobody to hear of it.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engines=1) as fleet:
            node = fleet.instances["front-0"]
            assert node.process is not None
            node.process.freeze()
            reader, writer = await asyncio.open_connection(*node.callers)
            writer.write(
                b"POST /book/x HTTP/1.1\r\nHost: chats.example\r\nAttempt-Id: gone\r\n"
                b"X-Api-Key: key-of-the-pilgrims\r\nContent-Length: 4\r\n\r\ntent"
            )
            await writer.drain()
            await asyncio.sleep(0.3)
            writer.close()
            await asyncio.sleep(0.1)
            node.process.thaw()
            assert (await fleet.ask("/book/x", b"other")).status == 200
            stats = await fleet.read_all_stats("plain")
            assert "gone" not in {seen.id for s in stats.values() for seen in s.seen}

    run(work)
