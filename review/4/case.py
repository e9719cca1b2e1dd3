"""LOST: a stopping instance takes further streams on open connections, and cuts them."""

from __future__ import annotations

import asyncio
import random
import signal
from pathlib import Path

from harness import KEY, Client, Deployment, Message, Record, Worker, make_config
from harness import make_route, run_case

ZONES = ("almaty-a", "almaty-b", "almaty-c")
INSTANCES = 2
WORKERS = 3
CLIENTS = 30
# Events of a stream, and the pause between two of them: less than `gapTargetMs`.
EVENTS = 16
GAP_S = 0.28
# The SIGTERM comes so long after the first streams were asked for.
TERM_AFTER_S = 1.0
# A client asks for its next stream so long after the one before has ended, at most.
MAX_PAUSE_S = 0.3
EXCUSED_UNTIL_S = 3.0


class StreamWorker(Worker):
    """Answers with a stream of events; the body of a request says of how many."""

    async def _answer(self, head: Message, body: bytes, writer: asyncio.StreamWriter) -> None:
        attempt = head.headers.get("attempt-id", "")
        if head.headers.get("expect-instance", self.name) != self.name:
            await super()._answer(head, body, writer)
            return
        self._on_arrival(attempt, self.name, True)
        lines = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {attempt}",
            f"Response-Seal: seal.{self.name}.{attempt}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(1, int(body) + 1):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if writer.is_closing():
                return
            await asyncio.sleep(GAP_S)
        writer.write(b"0\r\n\r\n")


async def no_work(head: Message, body: bytes) -> bytes:
    return b""


async def play(deployment: Deployment, record: Record, trouble: bool) -> bool:
    def note_arrival(attempt: str, worker: str, runs: bool) -> None:
        record.write("arrived", id=attempt, worker=worker, runs=runs)

    engine = {"slots": 64, "kvCapacityTokens": 480_558, "kvTokenBytes": 1_000}
    service = {
        "name": "bend-llm",
        "maxConns": 360,
        "coldStartS": 3.0,
        "coldPerS": 4.0,
        "engine": engine,
    }
    fields = {"timeoutMs": 12_000, "sloMs": 800, "sticky": True, "maxAttempts": 1}
    route = make_route("plan", "streaming", "bend-llm", **fields)
    await deployment.start_store(make_config([route], [service]))
    for number in range(WORKERS):
        worker = StreamWorker(f"w-{number}", 64, 8, no_work, note_arrival)
        await worker.listen()
        entry = deployment.make_entry("bend-llm", worker.port, ZONES[number], 64)
        await deployment.put_row("servers", worker.name, entry)
    for number in range(INSTANCES):
        deployment.add_instance(f"front-{number}", ZONES[number])
    await asyncio.gather(*(deployment.start_instance(name) for name in deployment.fronts))
    for name in deployment.fronts:
        await deployment.wait_ready(name)
    await asyncio.sleep(4.0)

    sent_ids = 0

    async def ask(client: Client, events: int) -> tuple[str, float, bool | None]:
        """Send a request; return when, and whether the answer was whole; None: not read."""
        nonlocal sent_ids
        sent_ids += 1
        attempt = f"{sent_ids:016x}"
        headers = {
            "Attempt-Id": attempt,
            "Model": "m",
            "Token-Usage": "1460,80",
            "Prefix-Hash": f"5c1e07a2:800,91bd3f06:410,{sent_ids:08x}:250",
            "Deadline-Ms": "12000",
            "X-Api-Key": KEY,
        }
        sent_at = record.now()
        record.write("sent", id=attempt, events=events)
        answer = await client.send("POST", "/plan/1", headers, str(events).encode())
        record.write(
            "answered",
            id=attempt,
            status=answer.status,
            whole=answer.whole,
            events=answer.body.count(b"\n\n"),
        )
        if answer.status == 0:
            return attempt, sent_at, None
        return attempt, sent_at, answer.whole

    term_at = 0.0

    async def chat(client: Client) -> tuple[str, float, bool | None]:
        """Ask for a stream, and for the next one on the same connection if it is still open."""
        _, _, is_whole = await ask(client, EVENTS)
        if not is_whole or not client.is_connected:
            return "", record.now(), None
        await asyncio.sleep(random.uniform(0.0, MAX_PAUSE_S))
        return await ask(client, EVENTS)

    clients = [Client(deployment.fronts["front-0"]) for _ in range(CLIENTS)]
    chats = [asyncio.create_task(chat(client)) for client in clients]
    await asyncio.sleep(TERM_AFTER_S)
    term_at = record.now()
    if trouble:
        record.write("SIGTERM", instance="front-0")
        deployment.instances["front-0"].send_signal(signal.SIGTERM)
    answers = await asyncio.gather(*chats)
    lost = 0
    excused = 0
    whole = 0
    for attempt, sent_at, is_whole in answers:
        after = sent_at - term_at
        if is_whole is False and after > EXCUSED_UNTIL_S:
            lost += 1
            record.write("lost", id=attempt, sent_after_sigterm_s=round(after, 4))
        elif is_whole is False:
            excused += 1
        elif is_whole:
            whole += 1
    unread = len(answers) - lost - excused - whole
    record.write("judged", whole=whole, lost=lost, cut_but_excused=excused, not_read=unread)
    print(f"{whole} whole, {lost} lost, {excused} cut but excused, {unread} not read")
    return lost > 0


if __name__ == "__main__":
    run_case(Path(__file__).resolve().parent, play)
