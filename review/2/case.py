"""DRAIN: one unreadable entry ends the instances' following of the workers' registrations."""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from pathlib import Path

from harness import KEY, Client, Deployment, Message, Record, Worker, make_config
from harness import make_route, run_case

ZONES = ("almaty-a", "almaty-b", "almaty-c")
INSTANCES = 3
WORKERS = 3
SLOTS = 6
WORK_S = 0.045
REQUESTS_PER_S = 60.0
BAD_ENTRY_AT_S = 2.0
DRAINING_AT_S = 5.0
DRAIN_S = 2.0
LENGTH_S = 14.0
# The value of the entry that another writer left: 4 KB of the 64 KB that a row may have. It begins
# as an object and has no end.
BAD_VALUE = b'{"notes": ' + b"[" * 4_000


async def work(head: Message, body: bytes) -> bytes:
    await asyncio.sleep(WORK_S * random.uniform(0.6, 1.4))
    return b"x" * 800


async def play(deployment: Deployment, record: Record, trouble: bool) -> bool:
    arrivals: list[tuple[float, str]] = []

    def note_arrival(attempt: str, worker: str, runs: bool) -> None:
        arrivals.append((record.now(), worker))
        record.write("arrived", id=attempt, worker=worker, runs=runs)

    service = {"name": "allot-api", "maxConns": 96, "coldStartS": 0.0, "coldPerS": 0.0}
    routes = [
        make_route("claim", "unsafe", "allot-api", maxAttempts=1),
        make_route("lookup", "safe", "allot-api", maxAttempts=2),
    ]
    await deployment.start_store(make_config(routes, [service]))
    entries = {}
    for number in range(WORKERS):
        worker = Worker(f"w-{number}", SLOTS, 12, work, note_arrival)
        await worker.listen()
        entry = deployment.make_entry("allot-api", worker.port, ZONES[number], SLOTS)
        entries[worker.name] = entry
        await deployment.put_row("servers", worker.name, entry)
    for number in range(INSTANCES):
        deployment.add_instance(f"front-{number}", ZONES[number])
    await asyncio.gather(*(deployment.start_instance(name) for name in deployment.fronts))
    for name in deployment.fronts:
        await deployment.wait_ready(name)
    await asyncio.sleep(4.0)

    idle: dict[str, list[Client]] = defaultdict(list)
    names = list(deployment.fronts)
    statuses: Counter[int] = Counter()

    async def request(number: int) -> None:
        name = random.choice(names)
        client = idle[name].pop() if idle[name] else Client(deployment.fronts[name])
        attempt = f"{number:016x}"
        is_safe = random.random() < 0.32
        method, path = ("GET", "/lookup/1") if is_safe else ("POST", "/claim/1")
        body = b"" if is_safe else f"plot {number}".encode()
        headers = {"Attempt-Id": attempt, "Deadline-Ms": "1000", "X-Api-Key": KEY}
        record.write("sent", id=attempt, to=name, path=path)
        try:
            answer = await asyncio.wait_for(client.send(method, path, headers, body), 1.5)
        except (OSError, asyncio.TimeoutError) as error:
            client.close()
            record.write("answered", id=attempt, status=0, error=type(error).__name__)
            return
        statuses[answer.status] += 1
        record.write("answered", id=attempt, status=answer.status)
        idle[name].append(client)

    async def disturb() -> float:
        """Return when the store had acknowledged that a worker is draining."""
        await asyncio.sleep(BAD_ENTRY_AT_S)
        if trouble:
            await deployment.put_raw_row("servers", "left-behind", BAD_VALUE)
            record.write("unreadable entry written", key="servers/left-behind")
        await asyncio.sleep(DRAINING_AT_S - BAD_ENTRY_AT_S)
        draining = {**entries["w-0"], "state": "draining", "seqNo": 2}
        await deployment.put_row("servers", "w-0", draining)
        record.write("acknowledged: draining", worker="w-0")
        return record.now()

    tasks: list[asyncio.Task[None]] = []
    disturbing = asyncio.create_task(disturb())
    started_at = record.now()
    while (elapsed := record.now() - started_at) < LENGTH_S:
        while len(tasks) < elapsed * REQUESTS_PER_S:
            tasks.append(asyncio.create_task(request(len(tasks))))
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    drained_at = await disturbing
    late = [at for at, worker in arrivals if worker == "w-0" and at > drained_at + DRAIN_S]
    record.write(
        "judged",
        arrivals_at_drained_worker=len(late),
        latest_after_s=round(max(late) - drained_at, 2) if late else None,
        statuses=dict(statuses),
    )
    print(f"{len(late)} requests reached w-0 later than {DRAIN_S} s after it was draining")

    # Not judged: what an instance answers that starts now.
    await deployment.stop_instance("front-0")
    await deployment.start_instance("front-0")
    await deployment.wait_ready("front-0")
    record.write("restarted instance is ready")
    await asyncio.sleep(3.0)
    names[:] = ["front-0"]
    idle.clear()
    statuses.clear()
    await asyncio.gather(*(request(len(tasks) + n) for n in range(20)))
    record.write("answers of the restarted instance", statuses=dict(statuses))
    print(f"answers of an instance that was restarted: {dict(statuses)}")
    return bool(late)


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
