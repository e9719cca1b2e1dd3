"""Callers that read slowly or not at all: what they cost an instance, its targets and others."""

from __future__ import annotations

import asyncio
import json
import re
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from rhubarbbend.gateway import _metrics
from standins._worker_types import make_response_body, make_stream_event
from tests.gateway.harness import HOST, KEY, ZONES, GatewayFleet, run, start_fleet, wait_until

EVENTS = 60
EVENT_BYTES = 4_096
PROMPT = "aa11:400,bb22:900,cc33:120"
# One instance holds about 40 MB for itself.
MEMORY_MB = 80
ANSWER_BYTES = 200_000


class RawCaller:
    """A caller whose kernel takes little from the instance, so that it decides what is read."""

    def __init__(self, fleet: GatewayFleet, instance: str = "front-0") -> None:
        self._fleet = fleet
        self._instance = instance
        self.received = b""
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        self._socket.setblocking(False)

    async def send(self, path: str, body: bytes = b"", **headers: str) -> None:
        fields = {"Host": HOST, "X-Api-Key": KEY, "Attempt-Id": self._fleet.make_attempt_id()}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        fields |= {"Content-Length": str(len(body))} if body else {}
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        method = "POST" if body else "GET"
        loop = asyncio.get_running_loop()
        address = self._fleet.instances[self._instance].front_address
        await loop.sock_connect(self._socket, address)
        data = f"{method} {path} HTTP/1.1\r\nConnection: close\r\n{lines}\r\n".encode() + body
        await loop.sock_sendall(self._socket, data)

    async def read_to_end(self, size: int = 65_536, pause: float = 0.0) -> None:
        """Read parts of a response with pauses between them, until the connection ends."""
        loop = asyncio.get_running_loop()
        try:
            while part := await loop.sock_recv(self._socket, size):
                self.received += part
                if pause:
                    await asyncio.sleep(pause)
        except ConnectionError:
            pass
        self.close()

    @property
    def events(self) -> bytes:
        """Return the chunked body of the response, without its framing."""
        body = self.received.partition(b"\r\n\r\n")[2]
        parts: list[bytes] = []
        while body:
            size, _, rest = body.partition(b"\r\n")
            length = int(size, 16)
            parts.append(rest[:length])
            body = rest[length + 2 :] if length else b""
        return b"".join(parts)

    def close(self) -> None:
        self._socket.close()


async def read_metric(fleet: GatewayFleet, name: str, instance: str = "front-0") -> float:
    """Return a counter or gauge of an instance."""
    reply = await fleet.call((fleet.instances[instance].ip, 9464), "GET", "/metrics")
    found = re.search(rf"^{_metrics.PREFIX}{name} (\S+)$", reply.body.decode(), re.MULTILINE)
    assert found is not None, name
    return float(found[1])


def list_events(fleet: GatewayFleet, event: str, instance: str = "front-0") -> list[dict[str, Any]]:
    return [line for line in fleet.read_log(instance) if line["event"] == event]


def join_events(body: bytes, last: int = EVENTS) -> bytes:
    return b"".join(make_stream_event(body, n, EVENT_BYTES) for n in range(1, last + 1))


def test_a_caller_that_reads_nothing_frees_its_engine_and_is_ended(tmp_path: Path) -> None:
    """Guards against a caller that occupies an engine and memory by not reading: 30 s before."""

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.set_service_faults(
                "llm", events=2_000, event_gap=0.0, event_bytes=8_192, unread_timeout=20.0
            )
            caller = RawCaller(fleet)
            await caller.send("/plan/stream", b"hi", Prefix_Hash=PROMPT, Deadline_Ms="20000")
            sent_at = time.monotonic()

            async def is_running() -> bool:
                return (await fleet.read_stats("engine-0")).running == 1

            async def is_free() -> bool:
                return (await fleet.read_stats("engine-0")).running == 0

            await wait_until("a run", is_running)
            await asyncio.sleep(1.0)
            assert 0 < await read_metric(fleet, "memory_held_streams") < 65_536
            await wait_until("a free engine", is_free, 6.0)
            assert time.monotonic() - sent_at < 4.5
            assert await read_metric(fleet, "callers_not_reading_total") == 1
            assert await read_metric(fleet, "memory_held") == 0
            ends = list_events(fleet, "ended")
            assert ends[-1]["outcome"] == "caller_ended: not_reading"
            caller.close()

    run(work)


def test_a_caller_that_reads_slowly_gets_its_whole_stream(tmp_path: Path) -> None:
    """Guards against ending callers on slow links: 240 KB at 80 KB/s, in parts of 4 KB."""

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.set_service_faults(
                "llm", events=EVENTS, event_gap=0.0, event_bytes=EVENT_BYTES
            )
            caller = RawCaller(fleet)
            await caller.send("/chat/stream", b"hi", Prefix_Hash=PROMPT, Deadline_Ms="20000")
            await caller.read_to_end(4_096, 0.05)
            assert caller.events == join_events(b"hi")
            assert await read_metric(fleet, "callers_not_reading_total") == 0

    run(work)


@pytest.mark.parametrize("path", ["/chat/stream", "/plan/stream"])
def test_a_target_that_cuts_an_unread_answer_is_not_taken_for_a_failing_one(
    tmp_path: Path, path: str
) -> None:
    """Guards against refusing a request as one that crashes targets because its caller is slow.

    The engines reset a stream that is not read for 0.7 s. The caller reads nothing for 2 s and then
    all. A stream that may be resumed arrives whole; the other one is cut. Its content is sent four
    times: after two losses it would be refused.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=2) as fleet:
            count = 200
            await fleet.set_service_faults(
                "llm", events=count, event_gap=0.0, event_bytes=EVENT_BYTES, unread_timeout=0.7
            )
            for _ in range(4):
                caller = RawCaller(fleet)
                await caller.send(path, b"hi", Prefix_Hash=PROMPT, Deadline_Ms="20000")
                await asyncio.sleep(2.0)
                await caller.read_to_end()
                assert caller.received.startswith(b"HTTP/1.1 200"), caller.received[:200]
                is_whole = caller.received.endswith(b"0\r\n\r\n")
                assert is_whole is (path == "/chat/stream")
                if is_whole:
                    assert caller.events == join_events(b"hi", count)
            failed = list_events(fleet, "attempt_failed")
            assert len(failed) >= 4 and all(line["cut_unread"] for line in failed)
            assert await read_metric(fleet, "answers_cut_unread_total") == len(failed)
            assert await read_metric(fleet, "suspects_total") == 0
            assert not list_events(fleet, "target_held_down")

    run(work)


def test_far_from_the_limits_no_caller_is_ended_or_refused(tmp_path: Path) -> None:
    """Guards against a calm day that differs, with answers, uploads and streams of some size."""

    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, engine_worker_count=1) as fleet:
            await fleet.set_service_faults("llm", events=20, event_gap=0.0, event_bytes=8_192)
            await fleet.set_service_faults("plain", body_bytes=ANSWER_BYTES)
            requests = [("/read/x", b""), ("/book/x", b"x" * 300_000), ("/chat/stream", b"hi")]
            replies = await asyncio.gather(
                *(fleet.send_request(*requests[number % 3]) for number in range(24))
            )
            assert {(reply.status, reply.complete) for reply in replies} == {(200, True)}
            for counter in ("callers_not_reading", "callers_shed", "answers_cut_unread"):
                assert await read_metric(fleet, f"{counter}_total") == 0
            assert await read_metric(fleet, "refused_memory_short_total") == 0
            assert await read_metric(fleet, "memory_held") == 0
            assert not list_events(fleet, "attempt_failed")

    run(work)


def read_peak_resident_bytes(fleet: GatewayFleet, instance: str) -> int:
    process = fleet.instances[instance].process
    assert process is not None
    status = Path(f"/proc/{process.pid}/status").read_text("ascii")
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) * 1024  # type: ignore[index]


async def start_small_instance(fleet: GatewayFleet) -> None:
    node = await fleet.add_instance("small-0", ZONES[0])
    node.settings["limits"] = {"maxFds": 4_096, "memoryMb": MEMORY_MB}
    await fleet.start_instance("small-0")
    await fleet.wait_ready("small-0")


@pytest.mark.parametrize("batch", [8, 400])
def test_many_callers_that_do_not_read_stay_within_the_memory(tmp_path: Path, batch: int) -> None:
    """Guards against an instance that is killed: 400 answers of 200 KB that nobody reads.

    They take as much as its limit, one after the other or all at once. Others that read are served
    meanwhile or refused as "not run", and all of them are served afterwards.
    """

    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=2, engine_worker_count=1
        ) as fleet:
            await start_small_instance(fleet)
            await fleet.set_service_faults("plain", body_bytes=ANSWER_BYTES)
            callers = [RawCaller(fleet, "small-0") for _ in range(400)]
            served, refused = 0, 0
            for first in range(0, len(callers), batch):
                await asyncio.gather(
                    *(
                        caller.send(f"/read/{number}", Deadline_Ms="8000")
                        for number, caller in enumerate(callers[first : first + batch], first)
                    )
                )
                for _ in range(max(1, batch // 8)):
                    reply = await fleet.send_request("/read/x", instance="small-0")
                    if reply.status == 200:
                        assert reply.body == make_response_body(b"", "/read/x", ANSWER_BYTES)
                        served += 1
                    else:
                        assert reply.status == 503
                        error = json.loads(reply.body)
                        assert error["verdict"] == "not_run"
                        assert error["error"] in ("memory_short", "overloaded")
                        assert 0.0 < float(reply.headers["retry-after"]) <= 1.0
                        refused += 1
            ended = await read_metric(fleet, "callers_shed_total", "small-0")
            all_refused = await read_metric(fleet, "refused_memory_short_total", "small-0")
            peak = read_peak_resident_bytes(fleet, "small-0")
            print(f"served {served} refused {refused} shed {ended} {all_refused} peak {peak}")
            assert peak < MEMORY_MB * 1024 * 1024
            assert served >= (20 if batch == 8 else 0) and ended + all_refused > 0
            for caller in callers:
                caller.close()
            await asyncio.sleep(0.5)
            assert await read_metric(fleet, "memory_held", "small-0") == 0
            for _ in range(5):
                assert (await fleet.send_request("/read/y", instance="small-0")).status == 200

    run(work)


def test_many_large_requests_at_once_stay_within_the_memory(tmp_path: Path) -> None:
    """Guards against uploads that together exceed the memory while each of them is allowed.

    Only whole ones were counted; these are sent nearly whole and then stop.
    """

    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=1, plain_worker_count=1, engine_worker_count=1
        ) as fleet:
            await start_small_instance(fleet)
            body = b"x" * 1_000_000
            address = fleet.instances["small-0"].front_address
            head = (
                f"POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nX-Api-Key: {KEY}\r\n"
                f"Attempt-Id: large\r\nContent-Length: {len(body) + 1}\r\n\r\n"
            ).encode()
            streams = []
            for _ in range(60):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(head + body)
                streams.append((reader, writer))
                await asyncio.sleep(0.01)
            await asyncio.sleep(1.0)
            answered = [reader for reader, _ in streams if reader._buffer]  # type: ignore[attr-defined]
            assert answered
            for reader in answered:
                text = bytes(reader._buffer)  # type: ignore[attr-defined]
                assert text.startswith(b"HTTP/1.1 503") and b'"memory_short"' in text, text
                assert b"retry-after" in text.lower() and b"attempt-id: large" in text.lower()
            assert read_peak_resident_bytes(fleet, "small-0") < MEMORY_MB * 1024 * 1024
            for _, writer in streams:
                writer.close()
            assert (await fleet.read_stats("plain-0")).seen == []

    run(work)
