"""While the machines are stopped and started in turn, streams that they cut do not go on."""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time

from harness import (
    CHAT, ENGINES, TROUBLE, CannotRun, Deployment, Instance, Reply, call, play,
)

ZONES = ["a", "b", "c", "a", "b", "c", "a", "b"]
GAP_S = 1.3
GRACE_S = 8.0
CONTACT_S = 3.0
RESTART_DELAY_S = 0.3
CLIENTS = 150
EVENTS, EVENT_GAP_S = 42, 0.21
MIN_RATIO = 0.5


class Front:
    """The platform's address for clients: chooses the machine of each new connection."""

    def __init__(self, instances: list[Instance]) -> None:
        self.instances = instances
        self._misses = {instance.name: 0 for instance in instances}

    async def check(self) -> None:
        """Ask each machine once a second whether it is ready."""
        while True:
            await asyncio.gather(*(self._check(instance) for instance in self.instances))
            await asyncio.sleep(1.0)

    async def _check(self, instance: Instance) -> None:
        port = int(instance.settings["listen"]["ready"].rpartition(":")[2])
        reply = await call((instance.ip, port), "GET", "/ready", {"Host": "x"}, timeout=0.5)
        is_ready = reply.status == 200
        self._misses[instance.name] = 0 if is_ready else self._misses[instance.name] + 1

    def choose(self, zone: str, but: Instance | None = None) -> Instance:
        """Return a machine of the zone; of those in rotation, unless they are fewer than half."""
        nodes = [instance for instance in self.instances if instance.zone == zone]
        ready = [instance for instance in nodes if self._misses[instance.name] < 2]
        used = ready if 2 * len(ready) >= len(nodes) else nodes
        return random.choice([instance for instance in used if instance is not but] or used)


async def case(deployment: Deployment) -> bool:
    record = deployment.record
    options = {"events": EVENTS, "gap": EVENT_GAP_S}
    for number in range(2):
        await deployment.start_worker(f"old-{number}", ENGINES, "ab"[number], "v1", **options)
        await deployment.start_worker(f"new-{number}", ENGINES, "bc"[number], "v2", **options)
    await deployment.start_instances(ZONES)
    instances = list(deployment.instances.values())
    # Until when each machine is out of touch by its own SIGTERM or start.
    untouched_from = {instance.name: time.time() + CONTACT_S for instance in instances}
    front = Front(instances)
    checks = asyncio.create_task(front.check())
    await asyncio.sleep(4.0)

    # Whether a new stream began, or one that was taken up went on, at machines in touch.
    begun: list[bool] = []
    taken_up: list[bool] = []
    open_streams: dict[str, set[Reply]] = {instance.name: set() for instance in instances}

    async def send(instance: Instance, reply: Reply, headers: dict[str, str]) -> bool:
        """Send a request; return whether its machine was in touch at that time."""
        is_in_touch = time.time() >= untouched_from[instance.name]
        open_streams[instance.name].add(reply)
        await call(instance.front, "POST", CHAT, headers, b"x", reply=reply)
        open_streams[instance.name].discard(reply)
        return is_in_touch

    async def run_client(zone: str) -> None:
        await asyncio.sleep(random.uniform(0.0, EVENTS * EVENT_GAP_S))
        while True:
            instance, attempt, reply = front.choose(zone), deployment.make_id(), Reply()
            headers = deployment.make_headers(attempt, attempt[-8:])
            if await send(instance, reply, headers):
                begun.append(bool(reply.events))
            if reply.events and not reply.is_complete:
                await take_up(zone, instance, attempt, reply)
            await asyncio.sleep(random.uniform(0.0, 0.3))

    async def take_up(zone: str, before: Instance, attempt: str, reply: Reply) -> None:
        instance, more, at = front.choose(zone, before), Reply(), time.time()
        headers = deployment.make_headers(
            deployment.make_id(), attempt[-8:], Resumes=attempt,
            Last_Event_Id=str(reply.events[-1][0]),
        )
        is_in_touch = await send(instance, more, headers)
        if is_in_touch and more.status:
            taken_up.append(bool(more.events))
        record.write(
            f"stream {attempt}, begun at {before.name}, {reply.end} after event "
            f"{reply.events[-1][0]} of {reply.events[-1][1]}; taken up at {instance.name} "
            f"({'in touch' if is_in_touch else 'out of touch'}): {more.status}, "
            f"{len(more.events)} events {more.body[:31].decode() if more.status != 200 else ''}",
            at,
        )

    clients = [asyncio.create_task(run_client("abc"[n % 3])) for n in range(CLIENTS)]
    await asyncio.sleep(11.0)

    async def stop_and_start(instance: Instance) -> None:
        if not TROUBLE:
            await asyncio.sleep(GRACE_S)
            for reply in list(open_streams[instance.name]):
                reply.reset()
            record.write(f"the clients of {instance.name} lose their connections")
            return
        untouched_from[instance.name] = float("inf")
        instance.process.signal(signal.SIGTERM)
        sent_at = time.time()
        record.write(f"SIGTERM to {instance.name}")
        try:
            await asyncio.wait_for(instance.process.process.wait(), GRACE_S)
        except TimeoutError:
            await instance.process.kill()
        record.write(f"{instance.name} has ended {time.time() - sent_at:.1f} s after SIGTERM")
        await asyncio.sleep(RESTART_DELAY_S)
        await deployment.restart(instance)
        untouched_from[instance.name] = time.time() + CONTACT_S

    stops = []
    for instance in instances:
        stops.append(asyncio.create_task(stop_and_start(instance)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*stops)
    await asyncio.sleep(6.0)
    for task in [*clients, checks]:
        task.cancel()

    for version in ("v1", "v2"):
        serving = sum(w.version == version and w.process.is_running and w.is_listed
                      for w in deployment.workers.values())
        record.write(f"{serving} workers of {version} served all the while")
    if len(taken_up) < 12:
        raise CannotRun(f"only {len(taken_up)} streams were taken up at machines in touch")
    share, begins = sum(taken_up) / len(taken_up), sum(begun) / len(begun)
    record.write(f"of {len(taken_up)} streams taken up at machines in touch, {share:.2f} go on; of "
                 f"{len(begun)} new streams, {begins:.2f} begin; the least allowed: "
                 f"{MIN_RATIO * begins:.2f}")
    return share < MIN_RATIO * begins


play(case)
