"""Tests of requests that lost links break off: their targets have not crashed."""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.gateway.harness import GatewayFleet, Reply, run, start_fleet, wait_until
from tests.gateway.test_lost_links import CONTACT_S, CUTS, NO_CUT, count_served


async def send_prompt(fleet: GatewayFleet, instance: str, number: int) -> Reply:
    """Send a stream whose prompt has its first part in common with all others sent so."""
    return await fleet.send_request(
        "/plan/stream",
        f"prompt {number}".encode(),
        instance,
        Attempt_Id=f"prompt-{number}",
        Prefix_Hash=f"c0:300,{number:04x}:90",
    )


def list_suspects(fleet: GatewayFleet) -> set[str]:
    """Return the requests that were held since a target was lost under what they hold."""
    lines = [line for name in fleet.instances for line in fleet.read_log(name)]
    return {line["id"] for line in lines if line["event"] == "suspect_admitted"}


# Guards against holding or refusing prompts for a part that they share with requests that a cut
# broke off: while all who lost them are cut off too, nobody can tell that no target has crashed.
def test_prompts_are_not_suspected_for_a_part_that_a_cut_broke_off(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, zones=1, own_links=True, engine_worker_count=4
        ) as fleet:
            await fleet.set_service_faults("llm", delay=0.6)
            await asyncio.sleep(1.0)
            streams = [
                asyncio.create_task(send_prompt(fleet, name, number))
                for number, name in enumerate(8 * tuple(fleet.instances))
            ]
            await asyncio.sleep(0.2)
            await asyncio.gather(
                *(fleet.set_link_faults(name, **CUTS["reset"]) for name in fleet.instances)
            )
            await asyncio.gather(*streams)
            # Until all have asked each other what became of the targets.
            await asyncio.sleep(1.0)
            await fleet.set_service_faults("llm", delay=0.0)
            await fleet.set_link_faults("front-2", **NO_CUT)
            await asyncio.sleep(CONTACT_S)
            later = range(100, 124)
            names = 8 * tuple(fleet.instances)
            replies = await asyncio.gather(
                *(send_prompt(fleet, n, number) for n, number in zip(names, later, strict=True))
            )
            assert count_served(replies) == len(replies)
            assert list_suspects(fleet).isdisjoint(f"prompt-{number}" for number in later)

    run(work)


# Guards against asking an instance that is cut off too, and taking its answer for final: what was
# lost then stays in doubt, and prompts with the same part go on one at a time in the fleet.
def test_an_instance_with_links_is_asked_after_one_without_could_not_tell(tmp_path: Path) -> None:
    async def work() -> None:
        async with start_fleet(
            tmp_path, instances=3, zones=1, own_links=True, engine_worker_count=4
        ) as fleet:
            await fleet.set_service_faults("llm", delay=0.6)
            await asyncio.sleep(1.0)
            names = ("front-0", "front-1")
            streams = [
                asyncio.create_task(send_prompt(fleet, name, number))
                for number, name in enumerate(8 * names)
            ]
            await asyncio.sleep(0.2)
            with_links = fleet.instances["front-2"].process
            assert with_links is not None
            with_links.freeze()
            await asyncio.gather(*(fleet.set_link_faults(name, **CUTS["reset"]) for name in names))

            async def has_asked() -> bool:
                lines = [line for name in names for line in fleet.read_log(name)]
                return "nobody can tell" in {line.get("doubt") for line in lines}

            await wait_until("nobody can tell what became of a target", has_asked)
            with_links.resume()
            await asyncio.gather(*streams)
            # It is asked again within half a second.
            await asyncio.sleep(1.5)
            later = [send_prompt(fleet, name, 100 + number) for number, name in enumerate(names)]
            assert count_served(await asyncio.gather(*later)) == len(later)
            assert list_suspects(fleet).isdisjoint({"prompt-100", "prompt-101"})

    run(work)
