"""Tests of bookings, which are not idempotent.

Each must run at most once, and its caller must be told correctly whether it may have run.
"""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

import pytest

from tests.gateway.harness import make_config, run, start_fleet


def test_a_rejected_booking_is_refused_as_not_run(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.set_service_faults("plain", reject=True)
            reply = await fleet.send_request("/book/x", b"tent")
            assert reply.status == 503
            assert json.loads(reply.body)["verdict"] == "not_run"
            # At most a quarter of the two seconds that the caller has.
            assert 0 < float(reply.headers["retry-after"]) <= 0.5

    run(work)


def test_a_booking_without_an_answer_may_have_run_and_is_not_sent_again(tmp_path: Path) -> None:
    # The worker accepts the booking and never answers. At the deadline, the caller is told that the
    # booking may have run; it must not be sent to another worker.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.set_service_faults("plain", hang=True)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            reply = await fleet.send_request("/book/x", b"tent", Deadline_Ms="1000")
            assert reply.status == 504
            assert json.loads(reply.body)["verdict"] == "may_have_run"
            assert 0.9 < loop.time() - started_at < 1.3
            stats = await fleet.read_all_stats("plain")
            assert sum(n for s in stats.values() for n in s.runs.values()) == 1

    run(work)


def test_a_route_s_time_out_ends_a_request_before_the_caller_s_deadline(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            config = make_config(2)
            for route in config["routes"]:
                route["timeoutMs"] = 600
            await fleet.write_row("op", "config", config)
            await asyncio.sleep(0.5)
            await fleet.set_service_faults("plain", hang=True)
            loop = asyncio.get_running_loop()
            started_at = loop.time()
            assert (await fleet.send_request("/book/x", b"tent", Deadline_Ms="9000")).status == 504
            assert loop.time() - started_at < 0.9

    run(work)


def test_a_booking_is_sent_to_another_worker_after_a_failed_connection(tmp_path: Path) -> None:
    # Nothing was written to the first worker, so the booking cannot have run there.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.workers["plain-0"].process.kill()
            for _ in range(4):
                assert (await fleet.send_request("/book/x", b"tent")).status == 200
            assert len((await fleet.read_stats("plain-1")).runs) == 4

    run(work)


def test_a_different_worker_at_a_reused_address_does_not_run_requests(tmp_path: Path) -> None:
    # A worker is gone and another service's worker uses its address, but the registration still
    # says otherwise.
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=1, engine_worker_count=1
        ) as fleet:
            replaced = fleet.workers["plain-0"]
            await fleet.start_worker("stranger", "other", "zone-a")
            stranger = fleet.workers["stranger"].port
            await fleet.register_worker(replaced.name, address=f"127.0.0.1:{stranger}")
            await asyncio.sleep(0.4)
            reply = await fleet.send_request("/book/x", b"tent")
            assert reply.status == 503
            assert (await fleet.read_stats("stranger")).runs == {}

    run(work)


def test_an_error_answer_of_a_worker_is_passed_on_with_its_seal(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=1, engine_worker_count=1
        ) as fleet:
            await fleet.set_worker_faults("plain-0", status=500)
            reply = await fleet.send_request("/book/x", b"tent")
            assert (reply.status, reply.body) == (500, b"failed")
            assert reply.headers["response-seal"] == "seal-plain-0"
            # A 503 that does not state that nothing ran must not be passed on: the caller would
            # take it for a guarantee that the booking was not run.
            await fleet.set_worker_faults("plain-0", status=503)
            reply = await fleet.send_request("/book/x", b"tent")
            assert reply.status == 502 and "response-seal" not in reply.headers

    run(work)


def test_a_planned_stop_cuts_no_booking(tmp_path: Path) -> None:
    # An instance gets a stop signal while a booking runs. It must report itself as not ready at
    # once, answer the booking, and exit by itself.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.set_service_faults("plain", delay=1.0)
            reply_task = asyncio.ensure_future(fleet.send_request("/book/x", b"tent"))
            await asyncio.sleep(0.3)
            instance = fleet.instances["front-0"]
            assert instance.process is not None
            stop_task = asyncio.ensure_future(instance.process.stop(8.0))
            await asyncio.sleep(0.2)
            ready = await fleet.call((instance.ip, fleet._listen_ports["ready"]), "GET", "/ready")
            assert ready.status == 503
            # The load balancer has not noticed yet and sends one more request.
            late_reply = await fleet.send_request("/book/y", b"tent")
            assert late_reply.status == 200 and late_reply.headers.get("connection") == "close"
            assert (await reply_task).status == 200
            assert await stop_task == 0

    run(work)


def test_a_connection_is_not_reused_after_a_rejected_booking(tmp_path: Path) -> None:
    # A worker rejects a booking and closes the connection when the next booking arrives on it. That
    # one would not run, but the instance could not know this, and the caller would get 502 for no
    # reason.
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=1, engine_worker_count=1
        ) as fleet:
            await fleet.set_worker_faults("plain-0", reject=True, drop_idle=True)
            assert (await fleet.send_request("/book/x", b"tent")).status == 503
            await fleet.set_worker_faults("plain-0", reject=False)
            assert (await fleet.send_request("/book/y", b"tent")).status == 200

    run(work)


def test_a_planned_stop_waits_for_a_long_booking(tmp_path: Path) -> None:
    # The booking takes longer than the load balancer needs to take the instance out of rotation.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            config = make_config(2)
            for route in config["routes"]:
                route["timeoutMs"] = 9_000
            await fleet.write_row("op", "config", config)
            await fleet.set_service_faults("plain", delay=4.0)
            await asyncio.sleep(0.5)
            reply_task = asyncio.ensure_future(
                fleet.send_request("/book/x", b"tent", Deadline_Ms="8000")
            )
            await asyncio.sleep(0.3)
            instance = fleet.instances["front-0"]
            assert instance.process is not None
            assert await instance.process.stop(8.0) == 0
            assert (await reply_task).status == 200

    run(work)


def test_repeated_stop_signals_do_not_disturb_a_planned_stop(tmp_path: Path) -> None:
    # The stop signal is repeated until the process has ended. A signal that arrived just before the
    # end once killed the process, so that the planned stop looked like a crash.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            process = fleet.instances["front-0"].process
            assert process is not None
            while process.running:
                process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.002)
            assert process.process.returncode == 0

    run(work)


@pytest.mark.parametrize("idle_time_s", [0.7, 0.3])
def test_a_booking_is_not_sent_over_a_connection_that_may_be_closing(
    tmp_path: Path, idle_time_s: float
) -> None:
    # A worker closes idle connections just as the next request arrives on them. It is unknown then
    # whether that request ran, so a booking would fail with 502 for no reason.
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=1, engine_worker_count=1
        ) as fleet:
            await fleet.set_worker_faults("plain-0", drop_idle=True)
            for _ in range(3):
                assert (await fleet.send_request("/book/x", b"tent")).status == 200
                await asyncio.sleep(idle_time_s)

    run(work)


def test_few_reads_fail_on_dead_idle_connections(tmp_path: Path) -> None:
    # Both workers drop idle connections. The first reads fail on such connections and are retried.
    # The allowed idle time is lowered then, so that later reads use new connections; otherwise each
    # of them would fail once, too.
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=2, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", drop_idle=True)
            for _ in range(8):
                assert (await fleet.send_request("/read/x")).status == 200
                await asyncio.sleep(0.3)
            events = [line["event"] for line in fleet.read_log("front-0")]
            assert 1 <= events.count("idle_connection_dead") <= 3

    run(work)


def test_a_request_that_crashes_workers_is_refused_at_every_instance(tmp_path: Path) -> None:
    # The caller repeats the request at one instance after the other. Each crash of a worker loses
    # everything that it runs, so the request must be refused everywhere after two crashes.
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=2, plain_worker_count=4, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", crash_on="poison")
            for number in range(6):
                name = f"front-{number % 2}"
                await fleet.send_request("/book/x", b"poison", instance=name)
                await asyncio.sleep(0.5)
            survivors = [
                n for n in fleet.workers.values() if n.service == "plain" and n.process.running
            ]
            assert len(survivors) == 2
            assert (await fleet.send_request("/book/x", b"poison")).status == 503
            assert (await fleet.send_request("/book/x", b"sound")).status == 200

    run(work)


def test_simultaneous_target_failures_are_not_attributed_to_a_request(tmp_path: Path) -> None:
    # A zone is cut off and refuses connections: every request at its targets fails, and none of
    # them accepts a new connection. This happens twice to the same booking, which its caller
    # repeats. A single request cannot have crashed several targets at once, so it must not be
    # refused.
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=6, engine_worker_count=1
        ) as fleet:
            await fleet.set_service_faults("plain", hang=True)
            for _ in range(2):
                bodies = (b"tent", b"ghat", b"ration")
                reply_tasks = [
                    asyncio.ensure_future(fleet.send_request("/book/x", body)) for body in bodies
                ]
                await asyncio.sleep(0.3)
                stats = await fleet.read_all_stats("plain")
                busy = [name for name, s in stats.items() if s.running]
                assert len(busy) == 3
                await asyncio.gather(*(fleet.workers[name].process.kill() for name in busy))
                assert [reply.status for reply in await asyncio.gather(*reply_tasks)] == [502] * 3
                for name in busy:
                    del fleet.workers[name]
            await asyncio.sleep(0.6)
            await fleet.start_worker("plain-9", "plain", "zone-a")
            await asyncio.sleep(0.4)
            assert (await fleet.send_request("/book/x", b"tent")).status == 200

    run(work)


def test_a_booking_whose_caller_disconnected_while_the_instance_was_paused_is_not_sent(
    tmp_path: Path,
) -> None:
    # The instance is paused when the booking arrives, and the caller disconnects at its deadline.
    # When the instance continues, the request and the end of its connection are read together. If
    # it sent the booking, it would run although nobody learns of the outcome.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            instance = fleet.instances["front-0"]
            assert instance.process is not None
            instance.process.freeze()
            reader, writer = await asyncio.open_connection(*instance.front_address)
            writer.write(
                b"POST /book/x HTTP/1.1\r\nHost: chats.example\r\nAttempt-Id: gone\r\n"
                b"X-Api-Key: key-of-the-pilgrims\r\nContent-Length: 4\r\n\r\ntent"
            )
            await writer.drain()
            await asyncio.sleep(0.3)
            writer.close()
            await asyncio.sleep(0.1)
            instance.process.resume()
            assert (await fleet.send_request("/book/x", b"other")).status == 200
            stats = await fleet.read_all_stats("plain")
            assert "gone" not in {seen.id for s in stats.values() for seen in s.seen}

    run(work)
