"""Answers that a target breaks off in their heads, by a close or a reset."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Final

import pytest

from tests.gateway.harness import GatewayFleet, Reply, run, start_fleet

PROMPT: Final = "aa:400,bb:50"
PATHS: Final = ("/read/x", "/book/x", "/chat/stream", "/plan/stream")
# Within the status line, at its end, within the name and the value of a header, and before each of
# the last bytes of the head.
CUTS: Final = (0, 1, 8, 9, 12, 15, 16, 17, 20, 40, 60, -5, -4, -3, -2, -1)
# All links of an instance to targets are lost, and another one sends its requests.
LOST_LINKS: Final[dict[str, Any]] = {"listening": "closed", "cut": True}


async def send(fleet: GatewayFleet, path: str, name: str, **headers: str) -> Reply:
    # No two bodies are alike, so that none is refused for targets that were lost under others.
    return await fleet.send_request(path, name.encode(), Prefix_Hash=PROMPT, **headers)


async def send_all(fleet: GatewayFleet, by_reset: bool, is_unframed: bool, **headers: str) -> None:
    """Send requests of all kinds whose answers are cut at all places; none may look complete."""
    for cut in CUTS:
        for service in ("plain", "llm"):
            await fleet.set_service_faults(
                service, head_cut=cut, cut_by_reset=by_reset, unframed=is_unframed
            )
        for path in PATHS:
            reply = await send(fleet, path, f"{path} {cut}", **headers)
            assert not (reply.status == 200 and reply.complete), (path, cut, reply)


async def open_kept_connections(fleet: GatewayFleet) -> None:
    for path in PATHS:
        assert (await send(fleet, path, f"{path} whole")).status == 200


# Guards against a success with an empty or a short body, made of a head that was cut (MIXED,
# ORDER), also on a connection that has served requests before.
@pytest.mark.parametrize("is_unframed", [False, True])
@pytest.mark.parametrize("by_reset", [False, True])
def test_answer_cut_in_its_head_does_not_look_complete(
    tmp_path: Path, by_reset: bool, is_unframed: bool
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1) as fleet:
            await open_kept_connections(fleet)
            await send_all(fleet, by_reset, is_unframed)
            await send_all(fleet, by_reset, is_unframed, Last_Event_Id="2", Resumes="unknown")

    run(work)


# Guards against the same answer that is passed on as complete by the helper of an instance.
@pytest.mark.parametrize("by_reset", [False, True])
def test_answer_cut_in_its_head_does_not_look_complete_through_a_helper(
    tmp_path: Path, by_reset: bool
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=2, own_links=True) as fleet:
            await fleet.set_link_faults("front-0", **LOST_LINKS)
            await open_kept_connections(fleet)
            await send_all(fleet, by_reset, is_unframed=True)
            assert any(line["event"] == "detour_ended" for line in fleet.read_log("front-0"))

    run(work)


# Guards against a stream that ends as complete since the target that goes on with it is cut in the
# head of its answer.
@pytest.mark.parametrize("by_reset", [False, True])
def test_stream_is_not_complete_if_the_next_target_is_cut_in_its_head(
    tmp_path: Path, by_reset: bool
) -> None:
    async def work() -> None:
        async with start_fleet(tmp_path, instances=1, plain_worker_count=0) as fleet:
            for number, cut in enumerate(CUTS):
                for name in fleet.workers:
                    await fleet.set_worker_faults(name, head_cut=None, cut_after=2, events=9)
                prompt = f"{number:04x}:400,bb:50"
                first = await fleet.send_request("/chat/stream", b"hi", Prefix_Hash=prompt)
                assert not first.complete
                home = first.headers["response-seal"].removeprefix("seal-")
                (other,) = (name for name in fleet.workers if name != home)
                await fleet.set_worker_faults(
                    other, head_cut=cut, cut_by_reset=by_reset, unframed=True
                )
                reply = await fleet.send_request("/chat/stream", b"hi", Prefix_Hash=prompt)
                assert not (reply.status == 200 and reply.complete), (cut, reply)

    run(work)
