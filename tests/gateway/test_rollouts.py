"""Roll-outs of versions: real instances before stand-ins of the store and of targets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.gateway.harness import GatewayFleet, run, start_fleet, wait_until

OLD, NEW = "v1", "v2"
NEW_WORKERS = ("new-0", "new-1")
STATUS = ("status", "rollout/plain")
REQUESTS_PER_S = 60.0
DURATION_S = 6.0
# The exposure share and slack in the settings of the fleet's instances.
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 10


class Traffic:
    """Sends reads and bookings through all instances in turn until it is stopped."""

    def __init__(self, fleet: GatewayFleet) -> None:
        self._fleet = fleet
        self.sent = 0
        self.statuses: list[int] = []
        self._task = asyncio.create_task(self._send_all())

    async def _send_all(self) -> None:
        names = list(self._fleet.instances)
        requests: set[asyncio.Task[None]] = set()
        while True:
            path, body = ("/book/one", b"x") if self.sent % 2 else ("/read/one", b"")
            request = asyncio.create_task(self._send(path, body, names[self.sent % len(names)]))
            requests.add(request)
            request.add_done_callback(requests.discard)
            self.sent += 1
            await asyncio.sleep(1.0 / REQUESTS_PER_S)

    async def _send(self, path: str, body: bytes, instance: str) -> None:
        reply = await self._fleet.send_request(path, body, instance=instance)
        self.statuses.append(reply.status)

    async def stop(self) -> None:
        self._task.cancel()
        await asyncio.sleep(0.5)


async def order(fleet: GatewayFleet, duration_s: float = DURATION_S, to: str = NEW) -> None:
    value = {"service": "plain", "to": to, "durationS": duration_s}
    await fleet.write_row("op", "rollout/plain", value)


async def start_new_workers(fleet: GatewayFleet, **faults: object) -> None:
    for number, name in enumerate(NEW_WORKERS):
        await fleet.start_worker(name, "plain", f"zone-{'ab'[number]}", version=NEW)
        await fleet.set_worker_faults(name, **faults)


async def count_new_arrivals(fleet: GatewayFleet) -> int:
    return sum(arrival.worker in NEW_WORKERS for arrival in fleet.read_arrivals())


async def wait_for_state(fleet: GatewayFleet, state: str, timeout: float) -> None:
    async def has_state() -> bool:
        status = await fleet.read_row(*STATUS)
        return status is not None and status == {"state": state, "to": NEW}

    await wait_until(f"the roll-out is {state}", has_state, timeout)


def run_with_fleet(
    tmp_path: Path, work: Callable[[GatewayFleet, Traffic], Awaitable[None]], instances: int = 3
) -> None:
    async def start_and_run() -> None:
        options = {"instances": instances, "plain_worker_count": 2, "engine_worker_count": 0}
        async with start_fleet(tmp_path, **options) as fleet:
            traffic = Traffic(fleet)
            await work(fleet, traffic)

    run(start_and_run)


def test_good_version_takes_over_before_the_deadline_without_a_lost_request(
    tmp_path: Path,
) -> None:
    """A good version that stays unproven, or whose old targets end with requests on them.

    The old targets end as soon as the success is written. Until then the new ones may get a tenth
    of the requests and ten more, since nobody knows that the version is good.
    """

    async def work(fleet: GatewayFleet, traffic: Traffic) -> None:
        await start_new_workers(fleet)
        await asyncio.sleep(1.0)
        assert await count_new_arrivals(fleet) == 0
        sent_before = traffic.sent
        await order(fleet)
        await wait_for_state(fleet, "running", 2.0)
        await wait_for_state(fleet, "succeeded", DURATION_S)
        for name in ("plain-0", "plain-1"):
            await fleet.workers[name].process.kill()
            await fleet.write_row("servers", name, None)
        exposed = await count_new_arrivals(fleet)
        assert 5 < exposed <= EXPOSURE_SHARE * (traffic.sent - sent_before) + EXPOSURE_SLACK
        await asyncio.sleep(1.0)
        await traffic.stop()
        assert set(traffic.statuses) == {200}

    run_with_fleet(tmp_path, work)


@pytest.mark.parametrize("faults", [{"status": 500}, {"delay": 0.3}, {"hang": True}])
def test_bad_version_is_rolled_back_and_gets_nothing_more(
    tmp_path: Path, faults: dict[str, object]
) -> None:
    """A version whose answers fail, are slow or never come, although its targets are healthy."""

    async def work(fleet: GatewayFleet, traffic: Traffic) -> None:
        await start_new_workers(fleet, **faults)
        await order(fleet, 8.0)
        await wait_for_state(fleet, "rolled_back", 7.5)
        await asyncio.sleep(0.5)
        exposed = await count_new_arrivals(fleet)
        assert exposed <= EXPOSURE_SHARE * traffic.sent + EXPOSURE_SLACK
        await asyncio.sleep(1.5)
        assert await count_new_arrivals(fleet) == exposed
        record = await fleet.read_row("rollouts", "plain")
        assert record["phase"] == "rolled_back" and "bad" in record["reason"]
        await traffic.stop()

    run_with_fleet(tmp_path, work)


def test_restarted_instance_sends_nothing_to_a_version_that_was_rolled_back(
    tmp_path: Path,
) -> None:
    """An instance starts while the targets of a version that was rolled back still run.

    It has not seen the roll-out. The order is still in the store, and so is its outcome, which the
    instance reads before it serves.
    """

    async def work(fleet: GatewayFleet, traffic: Traffic) -> None:
        await start_new_workers(fleet, status=500)
        await order(fleet, 8.0)
        await wait_for_state(fleet, "rolled_back", 7.5)
        await asyncio.sleep(0.5)
        exposed = await count_new_arrivals(fleet)
        for node in fleet.instances.values():
            assert node.process is not None
            await node.process.kill()
        for name in fleet.instances:
            await fleet.start_instance(name)
            await fleet.wait_ready(name)
        await asyncio.sleep(1.5)
        assert await count_new_arrivals(fleet) == exposed
        await traffic.stop()

    run_with_fleet(tmp_path, work)


def test_bad_version_is_stopped_while_the_store_is_away(tmp_path: Path) -> None:
    """The store goes away during a roll-out, and the version turns bad.

    Nothing can be written, but the instances need not go on sending requests to it. The outcome
    follows once the store is back.
    """

    async def work(fleet: GatewayFleet, traffic: Traffic) -> None:
        await start_new_workers(fleet)
        await order(fleet, 12.0)
        await wait_for_state(fleet, "running", 2.0)
        await fleet.set_store_faults(status=503)
        for name in NEW_WORKERS:
            await fleet.set_worker_faults(name, status=500)
        await asyncio.sleep(6.0)
        exposed = await count_new_arrivals(fleet)
        await asyncio.sleep(1.5)
        assert await count_new_arrivals(fleet) == exposed
        await fleet.set_store_faults(status=0)
        await wait_for_state(fleet, "rolled_back", 4.0)
        await traffic.stop()

    run_with_fleet(tmp_path, work)


def test_coordinator_that_dies_is_replaced(tmp_path: Path) -> None:
    """The instance that coordinates a roll-out is killed; another one has to end it in time."""

    async def work(fleet: GatewayFleet, traffic: Traffic) -> None:
        await start_new_workers(fleet)
        await order(fleet, 9.0)
        await wait_for_state(fleet, "running", 2.0)

        def list_writers() -> list[str]:
            return [
                name
                for name in fleet.instances
                if any(line["event"] == "rollout_written" for line in fleet.read_log(name))
            ]

        async def has_writer() -> bool:
            return bool(list_writers())

        # The store shows the state before the instance that wrote it has logged so.
        await wait_until("the coordinator logs its writing", has_writer, 2.0)
        writers = list_writers()
        assert len(writers) == 1
        process = fleet.instances[writers[0]].process
        assert process is not None
        await process.kill()
        await wait_for_state(fleet, "succeeded", 9.0)
        await traffic.stop()

    run_with_fleet(tmp_path, work, instances=4)


def test_withdrawn_order_ends_the_rollout(tmp_path: Path) -> None:
    """The operator deletes an order: the new version gets nothing more, and the status says so."""

    async def work(fleet: GatewayFleet, traffic: Traffic) -> None:
        await start_new_workers(fleet)
        await order(fleet, 20.0)
        await wait_for_state(fleet, "running", 2.0)
        await asyncio.sleep(1.0)
        await fleet.write_row("op", "rollout/plain", None)
        await wait_for_state(fleet, "rolled_back", 3.0)
        exposed = await count_new_arrivals(fleet)
        await asyncio.sleep(1.0)
        assert await count_new_arrivals(fleet) == exposed
        await traffic.stop()

    run_with_fleet(tmp_path, work)
