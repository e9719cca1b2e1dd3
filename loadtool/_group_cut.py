"""`loadtool cut`: cuts the links of a group of instances to targets, and counts who is served.

The processes are real. Callers send at a constant rate, each request to a random instance over a
new connection, and try once. The callers, the store and the other instances reach every instance
all the while.
"""

from __future__ import annotations

import asyncio
import enum
import random
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Final

import attrs

from loadtool._gateway_config import make_config
from loadtool._gateway_fleet import GatewayFleet, start_fleet
from loadtool._soak_links import MAX_FAILED, MAX_FAILED_FRACTION, MIN_SERVED_RATIO

KINDS: Final = ("read", "book", "chat", "plan")
SERVICE_BY_KIND: Final = {"read": "plain", "book": "plain", "chat": "llm", "plan": "llm"}
# What callers get is judged from this time after the beginning of a cut (`contactMs`).
CONTACT_S: Final = 3.0
# Until instances have heard one another and have used targets.
WARM_UP_S: Final = 3.0
# What is still answered when the last request has been sent.
DEADLINE_S: Final = 2.0
# All prompts begin with one part, as with the instructions of one product, and share the next one.
COMMON_PART: Final = "c0:300"
PROMPTS: Final = 60
# Instances that start during a cut are started one after the other.
START_INTERVAL_S: Final = 0.3
FLAP_INTERVAL_S: Final = 1.5


class LinkCut(enum.Enum):
    """What becomes of the connections of a cut-off instance to targets."""

    SILENT = "silent"
    RESET = "reset"
    # Open connections live on.
    NEW_REFUSED = "new_refused"


LINK_FAULTS: Final[dict[LinkCut, dict[str, Any]]] = {
    LinkCut.SILENT: {"listening": "silent", "blackhole": True},
    LinkCut.RESET: {"listening": "closed", "cut": True},
    LinkCut.NEW_REFUSED: {"listening": "closed"},
}
NO_LINK_FAULTS: Final[dict[str, Any]] = {"listening": "open", "blackhole": False}


@attrs.define(slots=True, frozen=True)
class CutOptions:
    """A cut and the traffic around it; `rate` is in requests a second, all instances together.

    `zones_cut` whole zones lose their links, or a random `share` of all instances if it is above 0.
    Only links to targets of `service` are cut, unless it is empty. The cut comes and goes if it
    `flaps`. `starting` of the cut-off instances start during the cut only. With `store_lost` the
    store is silent from the beginning of the cut on. With `limits_admission` requests that their
    service has no room for wait or are refused. Engines begin to answer after `delay` seconds: the
    longer that takes, the more requests a cut breaks off. Callers go on for `after` seconds once
    the links are back.
    """

    instances: int = 36
    zones: int = 3
    engines: int = 12
    plain_targets: int = 4
    rate: float = 120.0
    zones_cut: int = 1
    share: float = 0.0
    cut: LinkCut = LinkCut.SILENT
    service: str = ""
    flaps: bool = False
    starting: int = 0
    store_lost: bool = False
    limits_admission: bool = True
    delay: float = 0.0
    duration: float = 12.0
    after: float = 0.0

    @property
    def end(self) -> float:
        """When the last request is sent, in seconds after the beginning of the cut."""
        return self.duration + self.after


@attrs.define(slots=True, frozen=True)
class FirstTry:
    """A request that was tried once; `at` is in seconds after the beginning of the cut."""

    at: float
    instance: str
    kind: str
    status: int
    is_served: bool
    error: str


@attrs.define(slots=True)
class CutResult:
    """What came of the requests of a run."""

    options: CutOptions
    seed: int
    cut_off: frozenset[str]
    tries: list[FirstTry] = attrs.Factory(list)
    # Targets that instances took for ended under a request; all of them run.
    false_ends: list[str] = attrs.Factory(list)

    def count(self, is_cut_off: bool, since: float, until: float) -> tuple[int, int]:
        """Return how many requests were served, and how many were sent, in a time."""
        chosen = [
            t
            for t in self.tries
            if since <= t.at < until and (t.instance in self.cut_off) is is_cut_off
        ]
        return sum(t.is_served for t in chosen), len(chosen)

    def find_violations(self) -> list[str]:
        """Return a line for each guarantee that was broken."""
        ends = f"crashes: {', '.join(self.false_ends[:5])} taken for ended, but run"
        return [
            *self._find_refused_callers(),
            *self._find_refused_after(),
            *([ends] if self.false_ends else []),
        ]

    def _find_refused_after(self) -> list[str]:
        """Return a line if callers are not served anywhere once the links are back.

        What was taken for crashes may be refused everywhere, so instances are not compared.
        """
        since = self.options.duration + CONTACT_S
        counts = [self.count(is_cut, since, self.options.end) for is_cut in (True, False)]
        served, sent = (sum(values) for values in zip(*counts, strict=True))
        if sent - served <= MAX_FAILED + MAX_FAILED_FRACTION * sent:
            return []
        return [f"links: {served} of {sent} first tries served from {CONTACT_S:.0f} s after a cut"]

    def _find_refused_callers(self) -> list[str]:
        """Return a line if the users' rule on first tries is broken, from `CONTACT_S` on."""
        until = self.options.duration
        served, sent = self.count(True, CONTACT_S, until)
        served_elsewhere, sent_elsewhere = self.count(False, CONTACT_S, until)
        failed = sent - served
        if failed <= MAX_FAILED + MAX_FAILED_FRACTION * (sent + sent_elsewhere):
            return []
        elsewhere = served_elsewhere / sent_elsewhere if sent_elsewhere else 0.0
        if served / sent >= MIN_SERVED_RATIO * elsewhere:
            return []
        return [
            f"links: {served} of {sent} first tries served at {len(self.cut_off)} instances "
            f"without links, {served_elsewhere} of {sent_elsewhere} at the others"
        ]

    def count_failures(self) -> Counter[tuple[str, int, str]]:
        """Count the failures at instances of the group from `CONTACT_S` on, by kind and answer."""
        return Counter(
            (t.kind, t.status, t.error)
            for t in self.tries
            if t.at >= CONTACT_S and not t.is_served and t.instance in self.cut_off
        )


async def run_cut(seed: int, options: CutOptions, folder: Path) -> CutResult:
    """Run a fleet through a cut and return what came of each request."""
    chooser = random.Random(f"group cut {seed}")
    settings: dict[str, Any] = {}
    if options.limits_admission:
        settings["contracts"] = ["base", "recover", "engine", "stream", "pressure"]
    async with start_fleet(
        folder,
        instances=options.instances,
        zones=options.zones,
        own_links=True,
        plain_worker_count=options.plain_targets,
        engine_worker_count=options.engines,
        worker_slots=12,
        config_changes={"services": _make_services()},
        settings_changes=settings,
    ) as fleet:
        return await _GroupCut(fleet, seed, options, chooser).run()


def _make_services() -> list[dict[str, Any]]:
    services: list[dict[str, Any]] = make_config()["services"]
    return [{**service, "maxConns": 500} for service in services]


class _GroupCut:
    """One run on a fleet that is ready."""

    def __init__(
        self, fleet: GatewayFleet, seed: int, options: CutOptions, chooser: random.Random
    ) -> None:
        self._fleet = fleet
        self._options = options
        self._chooser = chooser
        self._ready = list(fleet.instances)
        self._result = CutResult(options, seed, frozenset(self._choose_victims()))
        self._began_at = 0.0

    def _choose_victims(self) -> list[str]:
        names = list(self._fleet.instances)
        if self._options.share > 0.0:
            count = round(self._options.share * len(names))
            if self._options.share < 1.0:
                count = min(len(names) - 1, count)
            return self._chooser.sample(names, count)
        zones = {f"zone-{letter}" for letter in "abc"[: self._options.zones_cut]}
        return [n for n, node in self._fleet.instances.items() if node.settings["zone"] in zones]

    async def run(self) -> CutResult:
        starting = sorted(self._result.cut_off)[: self._options.starting]
        await asyncio.gather(*(self._stop(name) for name in starting))
        if self._options.delay > 0.0:
            await self._fleet.set_service_faults("llm", delay=self._options.delay)
        self._began_at = time.monotonic() + WARM_UP_S
        await asyncio.gather(
            self._send_all(), self._cut_links(), self._start_late(starting), self._lose_store()
        )
        self._result.false_ends = [
            f"{line['target']} by {name}"
            for name in self._fleet.instances
            for line in self._fleet.read_log(name)
            if line["event"] == "crash_counted"
        ]
        return self._result

    async def _stop(self, name: str) -> None:
        process = self._fleet.instances[name].process
        assert process is not None
        self._ready.remove(name)
        await process.stop()

    async def _start_late(self, names: Sequence[str]) -> None:
        await self._sleep_until(START_INTERVAL_S)
        for name in names:
            await self._fleet.start_instance(name)
            await self._fleet.wait_ready(name)
            self._ready.append(name)
            await asyncio.sleep(START_INTERVAL_S)

    async def _lose_store(self) -> None:
        if self._options.store_lost:
            await self._sleep_until(0.0)
            await self._fleet.set_store_faults(silent=True)

    async def _sleep_until(self, at: float) -> None:
        await asyncio.sleep(max(0.0, self._began_at + at - time.monotonic()))

    # The cut.

    async def _cut_links(self) -> None:
        at = 0.0
        while at < self._options.duration:
            await self._sleep_until(at)
            await self._set_faults(LINK_FAULTS[self._options.cut])
            if not self._options.flaps:
                break
            await self._sleep_until(at + FLAP_INTERVAL_S)
            await self._set_faults(NO_LINK_FAULTS)
            at += 2.0 * FLAP_INTERVAL_S
        await self._sleep_until(self._options.duration)
        await self._set_faults(NO_LINK_FAULTS)

    async def _set_faults(self, faults: dict[str, Any]) -> None:
        """Set faults on the links of all instances of the group at once."""
        fleet = self._fleet
        workers = [
            name
            for name, node in fleet.workers.items()
            if self._options.service in ("", node.service)
        ]
        ports = [
            fleet.instances[name].links[worker]
            for name in sorted(self._result.cut_off)
            for worker in workers
        ]
        await fleet.call_admin(fleet.proxy_port, "faults", {"ports": ports, **faults})

    # The callers.

    async def _send_all(self) -> None:
        async with asyncio.TaskGroup() as group:
            number = 0
            while (at := number / self._options.rate) < WARM_UP_S + self._options.end:
                await self._sleep_until(at - WARM_UP_S)
                group.create_task(self._send(number))
                number += 1

    async def _send(self, number: int) -> None:
        kind = self._chooser.choice(KINDS)
        instance = self._chooser.choice(self._ready)
        path = f"/{kind}/{number}" if kind in ("read", "book") else f"/{kind}/stream"
        body = b"" if kind == "read" else f"{kind} {number}".encode()
        headers = {}
        if SERVICE_BY_KIND[kind] == "llm":
            headers["Prefix_Hash"] = f"{COMMON_PART},{number % PROMPTS:04x}:400,{number:06x}bb:90"
        at = time.monotonic() - self._began_at
        reply = await self._fleet.send_request(path, body, instance, **headers)
        is_served = reply.status == 200 and reply.complete
        error = "" if is_served else reply.body[:60].decode("latin-1")
        self._result.tries.append(FirstTry(at, instance, kind, reply.status, is_served, error))


def format_cut(result: CutResult) -> str:
    """Return what was served in each second, and the failures, as text."""
    lines = ["  second: served of sent at instances without links / at the others"]
    for second in range(int(result.options.end)):
        own, others = (result.count(is_cut, second, second + 1) for is_cut in (True, False))
        lines.append(f"  {second:3}: {own[0]} of {own[1]} / {others[0]} of {others[1]}")
    for is_cut, label in ((True, "without links"), (False, "the others")):
        by_kind: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        for t in result.tries:
            is_judged = CONTACT_S <= t.at < result.options.duration
            if is_judged and (t.instance in result.cut_off) is is_cut:
                by_kind[t.kind][0] += t.is_served
                by_kind[t.kind][1] += 1
        counts = ", ".join(f"{k} {n[0]} of {n[1]}" for k, n in sorted(by_kind.items()))
        lines.append(f"  from {CONTACT_S:.0f} s on, {label}: {counts}")
    for (kind, status, error), count in result.count_failures().most_common(6):
        lines.append(f"  failed: {count} x {kind} {status} {error}")
    violations = result.find_violations()
    lines += [f"  BROKEN: {line}" for line in violations]
    lines.append(f"cut: seed {result.seed}: {len(violations)} promises broken")
    return "\n".join(lines)


def make_random_options(seed: int, instances: int, duration: float) -> CutOptions:
    """Return the cut of a seed: a zone, two of three, or most of all instances, in any form."""
    chooser = random.Random(f"cut options {seed}")
    zones_cut, share = chooser.choice(((1, 0.0), (2, 0.0), (1, 0.9), (1, 0.95)))
    return CutOptions(
        instances=instances,
        rate=chooser.choice((0.5, 1.0, 3.0)) * instances,
        zones_cut=zones_cut,
        share=share,
        cut=chooser.choice(list(LinkCut)),
        service=chooser.choice(("", "", "plain", "llm")),
        flaps=chooser.random() < 0.2,
        starting=chooser.choice((0, 0, 1)),
        store_lost=chooser.random() < 0.2,
        duration=duration,
    )


def main(seeds: Sequence[int], options: CutOptions | None, instances: int, duration: float) -> int:
    """Run each seed and print its result; return exit status 1 if a promise was broken.

    Without `options` each seed has a cut of its own.
    """
    is_broken = False
    for seed in seeds:
        chosen = options or make_random_options(seed, instances, duration)
        print(chosen)
        with tempfile.TemporaryDirectory(prefix="cut-") as folder:
            result = asyncio.run(run_cut(seed, chosen, Path(folder)))
            print(format_cut(result), flush=True)
        is_broken = is_broken or bool(result.find_violations())
    return int(is_broken)
