"""Tests of what callers see of a planned stop of an instance, by the time of their requests."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from loadtool._gateway_config import BOUNDS
from loadtool._gateway_nodes import Reply
from rhubarbbend.http import Connection, HttpFailure
from tests.gateway.harness import HOST, KEY, GatewayFleet, make_config, make_route, run, start_fleet

# New connections are accepted for a third of it.
GRACE_S = 6
EVENTS, EVENT_GAP_S = 14, 0.25
STREAM_TIMEOUT_MS = 12_000


class KeptConnection:
    """A caller's connection, used for one request after the other until the instance closes it."""

    def __init__(self, fleet: GatewayFleet, connection: Connection) -> None:
        self._fleet = fleet
        self._connection = connection

    @classmethod
    async def open(cls, fleet: GatewayFleet) -> KeptConnection:
        """Connect to the first instance."""
        return cls(fleet, await Connection.open(fleet.instances["front-0"].front_address))

    async def send(self, path: str, deadline_ms: int, body: bytes = b"hi") -> Reply:
        """Send a request; the reply has status 0 if the connection was closed without one."""
        headers = {
            "Host": HOST,
            "Attempt-Id": self._fleet.make_attempt_id(),
            "X-Api-Key": KEY,
            "Deadline-Ms": str(deadline_ms),
            "Content-Length": str(len(body)),
        }
        sent = [(name.encode(), value.encode()) for name, value in headers.items()]
        reply = Reply()
        try:
            self._connection.send_raw(b"POST", path.encode(), sent, body)
            head = await self._connection.receive_head(15.0)
            reply.status, reply.headers = head.status, head.headers
            async for part in self._connection.receive_body(15.0):
                reply.body += part
            reply.complete = True
            self._connection.make_reusable()
        except HttpFailure:
            pass
        return reply

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()


def start_streams_fleet(folder: Path) -> Any:
    route = make_route(
        "plan", "/plan/", "streaming", "llm", timeoutMs=STREAM_TIMEOUT_MS, maxAttempts=1
    )
    others = [route for route in make_config()["routes"] if route["name"] != "plan"]
    return start_fleet(
        folder,
        instances=1,
        config_changes={"routes": [*others, route]},
        settings_changes={"bounds": {**BOUNDS, "graceS": GRACE_S}},
    )


async def begin_stop(fleet: GatewayFleet) -> asyncio.Task[int]:
    """Send SIGTERM to the first instance; the task returns its exit status."""
    process = fleet.instances["front-0"].process
    assert process is not None
    ended = asyncio.create_task(process.stop(GRACE_S))
    await asyncio.sleep(0.0)
    return ended


def read_late_arrivals(fleet: GatewayFleet) -> list[bool]:
    """Return for each request of the stop, as logged, whether it was refused."""
    lines = fleet.read_log("front-0")
    return [line["refused"] for line in lines if line["event"] == "arrived_while_stopping"]


# Guards against streams that are accepted late in a planned stop on kept connections, and cut at
# its end (review/4): their first answers began before the stop, so these did not say that the
# connection would be closed.
def test_the_next_stream_on_a_kept_connection_is_not_cut_by_the_stop(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_streams_fleet(tmp_path) as fleet:
            await fleet.set_service_faults("llm", events=EVENTS, event_gap=EVENT_GAP_S)
            callers = [await KeptConnection.open(fleet) for _ in range(6)]
            firsts = [
                asyncio.create_task(caller.send("/plan/stream", STREAM_TIMEOUT_MS))
                for caller in callers
            ]
            await asyncio.sleep(0.5)
            ended = await begin_stop(fleet)
            replies = await asyncio.gather(*firsts)
            assert all(reply.status == 200 and reply.complete for reply in replies)
            nexts = await asyncio.gather(
                *(caller.send("/plan/stream", STREAM_TIMEOUT_MS) for caller in callers)
            )
            for reply in nexts:
                # It was not read, or refused unsent: it may arrive before its connection is closed.
                is_unread = (reply.status, reply.complete) == (0, False)
                assert is_unread or (reply.status == 503 and b"stopping" in reply.body)
            assert await ended == 0
            assert len(fleet.read_arrivals()) == len(callers)

    run(work)


# Guards against a late request on a new connection that is cut by the stop, or refused although it
# ends before that.
def test_a_late_request_is_refused_if_the_stop_could_cut_it(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_streams_fleet(tmp_path) as fleet:
            slow, body = 0.3, b"x" * 100
            await fleet.set_service_faults("llm", events=EVENTS, event_gap=EVENT_GAP_S)
            early = await KeptConnection.open(fleet)
            ended = await begin_stop(fleet)
            await asyncio.sleep(0.2)
            # Until the load balancer has noticed the stop, every request is accepted.
            first = asyncio.create_task(early.send("/plan/stream", STREAM_TIMEOUT_MS))
            await asyncio.sleep(GRACE_S / 3 - 0.2 - slow)
            callers = [await KeptConnection.open(fleet) for _ in range(2)]
            await asyncio.sleep(slow + 0.2)
            long, short = await asyncio.gather(
                callers[0].send("/plan/stream", STREAM_TIMEOUT_MS, body),
                callers[1].send("/book/late", 1_000, body),
            )
            assert long.status == 503 and long.complete and b"stopping" in long.body
            assert short.status == 200 and short.complete
            assert (await first).status == 200 and (await first).complete
            assert await ended == 0
            assert sorted(read_late_arrivals(fleet)) == [False, False, True]

    run(work)
