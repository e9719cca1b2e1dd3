"""Tests of the whole request path without faults.

Callers, instances, store and workers are separate processes.
"""

from __future__ import annotations

from pathlib import Path

from standins._worker_types import make_response_body, make_stream_event
from tests.gateway.harness import ACCOUNT, make_config, run, start_fleet, wait_until

PROMPT = "aa11:400,bb22:9000,cc33:120"


def test_each_kind_of_request_is_answered_by_its_service(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path) as fleet:
            read = await fleet.send_request("/read/plot?id=7")
            assert (read.status, read.complete) == (200, True)
            assert read.body == make_response_body(b"", "/read/plot?id=7")
            assert read.headers["response-seal"].startswith("seal-plain")
            booked = await fleet.send_request("/book/plot", b"tent 4")
            assert booked.body == make_response_body(b"tent 4", "/book/plot")
            chat = await fleet.send_request("/chat/stream", b"hello", Prefix_Hash=PROMPT, Model="m")
            assert chat.body == b"".join(make_stream_event(b"hello", n) for n in range(1, 6))

    run(work)


def test_callers_cannot_set_headers_that_only_the_fleet_may_set(tmp_path: Path) -> None:
    # A caller sends headers that only the fleet may set, in order to impersonate another account,
    # to reserve an engine's memory or to continue another request's run. None is forwarded.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            forged = {
                "Tenant": "somebody",
                "Expect_Instance": "engine-9",
                "Request_Priority": "0",
                "Hold": "h-1",
                "Pin_Ms": "4000",
                "Kv_From": "10.0.0.1:80/x",
                "Kv_Backup": "10.0.0.1:80",
                "Kv_Fetch": "10.0.0.1:80",
                "Connection": "close, Attempt-Id, Model",
                "Te": "trailers",
            }
            reply = await fleet.send_request(
                "/chat/stream",
                b"hello",
                Prefix_Hash=PROMPT,
                Model="m",
                Token_Usage="9520,80",
                X_Anything="kept",
                **forged,
            )
            assert reply.status == 200
            seen = (await fleet.read_stats("engine-0")).seen[-1]
            assert seen.headers["tenant"] == ACCOUNT
            assert seen.headers["expect-instance"] == "engine-0"
            assert seen.headers["request-priority"] == "3"
            assert 0 < int(seen.headers["deadline-ms"]) <= 2000
            assert seen.headers["host"] == "chats.example"
            for kept in ("prefix-hash", "model", "token-usage", "x-anything", "attempt-id"):
                assert kept in seen.headers, kept
            for dropped in ("x-api-key", "hold", "pin-ms", "kv-from", "kv-backup", "te"):
                assert dropped not in seen.headers, dropped

    run(work)


def test_requests_of_a_chat_go_to_one_engine_from_every_instance(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=3, engine_worker_count=4) as fleet:
            for number in range(9):
                prefix_hash = f"aa11:400,bb22:9000,{number:x}f:20"
                name = f"front-{number % 3}"
                await fleet.send_request(
                    "/chat/stream", b"hi", instance=name, Prefix_Hash=prefix_hash
                )
            stats = await fleet.read_all_stats("llm")
            assert sorted(sum(s.runs.values()) for s in stats.values()) == [0, 0, 0, 9]

    run(work)


def test_unknown_keys_and_paths_are_refused_and_public_routes_need_no_key(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            assert (await fleet.send_request("/read/x", X_Api_Key="nobody's")).status == 401
            assert (await fleet.send_request("/read/x", X_Api_Key="second-key")).status == 200
            assert (await fleet.send_request("/nothing/x")).status == 404
            assert (await fleet.send_request("/read")).status == 404
            assert (await fleet.send_request("/read/x", Host="other.example")).status == 404
            assert (
                await fleet.send_request("/open/x", X_Api_Key="nobody's", Tenant="me")
            ).status == 200
            stats = await fleet.read_all_stats("plain")
            seen = [seen for s in stats.values() for seen in s.seen if seen.target == "/open/x"]
            assert "tenant" not in seen[0].headers and "x-api-key" not in seen[0].headers

    run(work)


def test_an_instance_without_a_configuration_refuses_with_retry_after(tmp_path: Path) -> None:
    # The instance starts while the store is unavailable and no other instance has the
    # configuration. A 404 or 401 could be wrong, so it answers 503 until it has the configuration.
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            instance = fleet.instances["front-0"]
            assert instance.process is not None
            await instance.process.kill()
            await fleet.set_store_faults(status=503)
            await fleet.start_instance("front-0")

            async def is_refused() -> bool:
                reply = await fleet.send_request("/read/x")
                assert reply.status in (0, 503)
                return reply.status == 503 and float(reply.headers["retry-after"]) > 0

            await wait_until("a refusal", is_refused)
            ready = await fleet.call((instance.ip, fleet._listen_ports["ready"]), "GET", "/ready")
            assert ready.status == 503
            await fleet.set_store_faults(status=0)
            await fleet.wait_ready("front-0")
            assert (await fleet.send_request("/read/x")).status == 200

    run(work)


def test_logs_and_metrics_record_the_outcome_of_a_request(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            reply = await fleet.send_request("/chat/stream", b"hi", Prefix_Hash=PROMPT)
            assert reply.status == 200

            # The line is written after the answer is sent, so it may not be there yet.
            async def is_logged() -> bool:
                return any(line["event"] == "ended" for line in fleet.read_log("front-0"))

            await wait_until("the log line about the end of the request", is_logged, 2.0)
            lines = {line["event"]: line for line in fleet.read_log("front-0")}
            sent, ended = lines["sent"], lines["ended"]
            assert sent["id"] == ended["id"]
            assert (sent["target"], sent["reason"], sent["config"]) == ("engine-0", "home", 1)
            assert (ended["outcome"], ended["status"], ended["route"]) == ("answered", 200, "chat")
            metrics = await fleet.call((fleet.instances["front-0"].ip, 9464), "GET", "/metrics")
            text = metrics.body.decode()
            assert "rhubarbbend_answers_total 1" in text
            assert 'rhubarbbend_answer_seconds_count{kind="stream"} 1' in text
            assert "rhubarbbend_service_slots{service=" in text
            # No target here reports its pace; an estimate needs three attempts.
            assert sent["pace"] is None and "rhubarbbend_capacity_reports_invalid 0" in text
            for _ in range(3):
                await fleet.send_request("/chat/stream", b"hi", Prefix_Hash=PROMPT)
            estimates = [line.get("estimate") for line in fleet.read_log("front-0")]
            assert any(estimate and estimate < 5.0 for estimate in estimates)

    run(work)


def test_a_new_configuration_is_in_force_everywhere_within_two_seconds(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=3, engine_worker_count=1) as fleet:
            config = make_config(5)
            config["tenants"][0]["apiKeys"] = ["a-new-key"]
            await fleet.write_row("op", "config", config)
            for name in fleet.instances:

                async def is_in_force(name: str = name) -> bool:
                    old = await fleet.send_request("/read/x", instance=name)
                    new = await fleet.send_request("/read/x", instance=name, X_Api_Key="a-new-key")
                    return (old.status, new.status) == (401, 200)

                await wait_until(f"the new key at {name}", is_in_force, 2.0)

    run(work)
