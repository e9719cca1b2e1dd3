"""Commands under faults: at most one run under a key, and "not run" only where it is true."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from loadtool import Caller, Cluster
from loadtool._caller import Answer
from loadtool._cluster import Node
from tests.fleet.harness import make_caller, run, start_fleet, wait_until

PATH = "/booking/bookings"
BODY = b'{"plot": 7}'


def check_runs(cluster: Cluster, answers: dict[str, list[Answer]]) -> None:
    """Hold the services' journals against what the callers were told about each key."""
    runs = cluster.read_runs()
    for key, told in answers.items():
        count = runs.get(key, 0)
        assert count <= 1, f"{key} ran {count} times: {told}"
        for answer in told:
            assert not answer.wrong, answer
            if answer.verdict == "not_run" and answer is told[-1]:
                assert count == 0, f"{key} ran and was told not run: {told}"
            if answer.good:
                assert count == 1, f"{key} was answered and did not run"


async def ask_until_known(
    caller: Caller, key: str, told: list[Answer], tries: int = 12, deadline: float = 5.0
) -> Answer:
    """Ask again under the key, through one instance after another, until its outcome is known."""
    for _ in range(tries):
        answer = await caller.send_command(PATH, key, BODY, deadline=deadline)
        told.append(answer)
        if answer.good:
            return answer
        await asyncio.sleep(min(answer.retry_after, 2.0) or 0.1)
    raise AssertionError(f"not known after {tries} tries: {told}")


async def ask_everyone(cluster: Cluster, caller: Caller, key: str, told: list[Answer]) -> None:
    """Send the key through every living instance at once."""
    living = [node for node in cluster.instances.values() if node.process.running]
    asked = [caller.send_command(PATH, key, BODY, node.address, 4.0) for node in living]
    told.extend(await asyncio.gather(*asked))


async def wait_for_run(cluster: Cluster, key: str) -> None:
    """Wait until a service has run the key."""

    async def has_run() -> bool:
        return key in cluster.read_runs()

    await wait_until(f"{key} runs", has_run)


async def wait_for_claim(cluster: Cluster, key: str) -> None:
    """Wait until the key's claim is in the table."""
    assert cluster.platform is not None
    platform = cluster.platform

    async def is_claimed() -> bool:
        rows = await cluster.ask_admin(platform, "rows?table=claims")
        return any(row["key"].endswith("/" + key) for row in rows)

    await wait_until(f"{key} is claimed", is_claimed)


def list_plains(cluster: Cluster) -> list[Node]:
    """List the plain services."""
    return [node for node in cluster.targets.values() if node.kind == "plain"]


async def set_plain_faults(cluster: Cluster, **faults: object) -> None:
    """Set the same faults on every plain service."""
    for node in list_plains(cluster):
        await cluster.set_faults(node, **faults)


def test_platform_answers_lost_after_writes_took_effect(tmp_path: Path) -> None:
    """The platform writes a claim and its answer is lost, now and then twice in a row. The caller
    gets its answer late or is told that the command may have run, and asks again elsewhere. The
    instance finds its own claim in the table, so the command runs, and runs once."""

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            assert cluster.platform is not None
            caller = make_caller(cluster)
            told: dict[str, list[Answer]] = {}
            for number in range(1, 4):
                key = f"lost-{number}"
                told[key] = []
                await cluster.set_faults(cluster.platform, lose_answers=number)
                await ask_until_known(caller, key, told[key])
                await cluster.set_faults(cluster.platform, lose_answers=0)
                await ask_everyone(cluster, caller, key, told[key])
            check_runs(cluster, told)
            assert len(cluster.read_runs()) == 3

    run(work)


@pytest.mark.parametrize("fault", ["kill", "freeze"])
@pytest.mark.parametrize("moment", ["before_dispatch", "in_flight"])
def test_instance_lost_with_a_command(tmp_path: Path, fault: str, moment: str) -> None:
    """An instance is killed, or frozen and continued later, with a command claimed but not sent,
    or sent but not answered. Its caller asks another zone's instance, which finds the claim and
    asks its holder. What nobody knows is said to be in doubt; the command never runs twice."""

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            first = cluster.instances["entry-a1"]
            second = cluster.instances["entry-b1"]
            caller = make_caller(cluster)
            told: dict[str, list[Answer]] = {"k": []}
            if moment == "before_dispatch":
                # The claim takes effect, and its answer does not come before the fault.
                assert cluster.platform is not None
                await cluster.set_faults(cluster.platform, lose_answers=1)
            else:
                await set_plain_faults(cluster, hold=1.0)
            sending = asyncio.create_task(
                caller.send_command(PATH, "k", BODY, first.address, deadline=8.0)
            )
            if moment == "before_dispatch":
                await wait_for_claim(cluster, "k")
            else:
                await wait_for_run(cluster, "k")
            if fault == "kill":
                await first.process.kill()
            else:
                first.process.freeze()
            for _ in range(2):
                answer = await caller.send_command(PATH, "k", BODY, second.address, deadline=4.0)
                assert answer.verdict == "may_have_run", answer
                told["k"].append(answer)
            if fault == "kill":
                assert (await sending).failure
                await ask_everyone(cluster, caller, "k", told["k"])
                check_runs(cluster, told)
                return
            first.process.thaw()
            told["k"].append(await sending)
            known = await ask_until_known(caller, "k", told["k"])
            assert known.good
            await ask_everyone(cluster, caller, "k", told["k"])
            check_runs(cluster, told)

    run(work)


def test_target_killed_with_the_command_in_flight(tmp_path: Path) -> None:
    """The service is killed after it has run a command and before it answered. The caller is told
    that the command may have run, by every instance that it asks, and nobody runs it again."""

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            caller = make_caller(cluster)
            await set_plain_faults(cluster, crash_after=True)
            told = [await caller.send_command(PATH, "k", BODY)]
            await set_living_faults(cluster, crash_after=False)
            for node in cluster.instances.values():
                told.append(await caller.send_command(PATH, "k", BODY, node.address))
            assert [answer.verdict for answer in told] == ["may_have_run"] * 3, told
            await ask_everyone(cluster, caller, "k", told)
            check_runs(cluster, {"k": told})

    run(work)


async def set_living_faults(cluster: Cluster, **faults: object) -> None:
    """Set faults on the plain services that have not crashed."""
    for node in list_plains(cluster):
        if node.process.running:
            await cluster.set_faults(node, **faults)


def test_connection_silent_after_the_command_was_sent(tmp_path: Path) -> None:
    """The connection that carried a command goes silent for good, after the service got it and
    before its answer. The caller's deadline passes: it may have run. Other commands go on over
    new connections meanwhile. The key is never run again."""

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            caller = make_caller(cluster)
            await set_plain_faults(cluster, hold=0.5)
            sending = asyncio.create_task(caller.send_command(PATH, "k", BODY, deadline=3.0))
            await wait_for_run(cluster, "k")
            for zone in cluster.zones:
                await cluster.set_route_faults(zone, list_plains(cluster), freeze=True)
            await set_plain_faults(cluster, hold=0.0)
            other = await caller.send_command(PATH, "other", BODY)
            assert other.good, other
            told = [await sending]
            assert told[0].verdict == "may_have_run", told
            for node in cluster.instances.values():
                answer = await caller.send_command(PATH, "k", BODY, node.address, deadline=1.0)
                assert answer.verdict == "may_have_run", answer
                told.append(answer)
            await ask_everyone(cluster, caller, "k", told)
            check_runs(cluster, {"k": told, "other": [other]})

    run(work)


def test_same_key_through_two_zones_at_once(tmp_path: Path) -> None:
    """A caller sends each command through two instances of different zones at once, and again
    with another body. One instance's claim wins; both callers get the answer of the one run. The
    other body is refused as a conflict."""

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            caller = make_caller(cluster)
            await set_plain_faults(cluster, hold=0.2)
            nodes = list(cluster.instances.values())
            told: dict[str, list[Answer]] = {}
            for number in range(5):
                key = f"twin-{number}"
                both = [caller.send_command(PATH, key, BODY, node.address) for node in nodes]
                told[key] = await asyncio.gather(*both)
                assert all(answer.good for answer in told[key]), told[key]
                assert len({answer.body for answer in told[key]}) == 1
            for node in nodes:
                other = await caller.send_command(PATH, "twin-0", b'{"plot": 8}', node.address)
                assert (other.status, other.code) == (422, "idempotency_key_reused"), other
                query = await caller.send_command(PATH + "?a=1", "twin-0", BODY, node.address)
                assert query.code == "idempotency_key_reused", query
            check_runs(cluster, told)

    run(work)


def test_reserved_keys_while_the_platform_is_down(tmp_path: Path) -> None:
    """The platform is down. Commands under reserved keys go on, through the issuer and through
    another zone's instance, and a key that is sent twice gets the first run's answer. Other
    commands are refused at once. When the issuer is gone its keys are in doubt, never run."""

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            assert cluster.platform is not None
            caller = make_caller(cluster)
            issuer = cluster.instances["entry-a1"]
            other = cluster.instances["entry-b1"]
            keys = await caller.reserve_keys(6, issuer.address)
            await cluster.set_faults(cluster.platform, outage=True)
            told: dict[str, list[Answer]] = {key: [] for key in keys}
            for key in keys[:4]:
                for node in (other, issuer, other):
                    answer = await caller.send_command(PATH, key, BODY, node.address)
                    assert answer.good, answer
                    told[key].append(answer)
                conflict = await caller.send_command(PATH, key, b"{}", other.address)
                assert conflict.code == "idempotency_key_reused", conflict
            twins = [
                caller.send_command(PATH, keys[4], BODY, node.address) for node in (issuer, other)
            ]
            told[keys[4]] = await asyncio.gather(*twins)
            assert all(answer.good for answer in told[keys[4]]), told[keys[4]]
            plain = await caller.send_command(PATH, "plain", BODY, issuer.address)
            assert (plain.code, plain.verdict) == ("platform_down", "may_have_run"), plain
            forged = keys[5][:-1] + ("0" if keys[5][-1] != "0" else "1")
            bad = await caller.send_command(PATH, forged, BODY, other.address)
            assert bad.code == "idempotency_key_invalid", bad
            await issuer.process.kill()
            for key in (keys[0], keys[5]):
                gone = await caller.send_command(PATH, key, BODY, other.address, deadline=4.0)
                assert gone.verdict == "may_have_run", gone
                told[key].append(gone)
            check_runs(cluster, told)
            assert cluster.read_runs() == dict.fromkeys(keys[:5], 1)

    run(work)


def test_command_outlives_its_callers_deadline(tmp_path: Path) -> None:
    """The service takes longer than the caller waits: the caller is told that its command may
    have run. The command goes on; asked again through any instance, its answer comes."""

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            caller = make_caller(cluster)
            await set_plain_faults(cluster, hold=1.5)
            told = [await caller.send_command(PATH, "k", BODY, deadline=0.7)]
            assert told[0].verdict == "may_have_run", told
            known = await ask_until_known(caller, "k", told)
            assert known.replayed
            check_runs(cluster, {"k": told})

    run(work)


def test_same_key_in_a_zone_cut_off_from_the_platform(tmp_path: Path) -> None:
    """One zone cannot reach the platform. The same key is sent there and in another zone at once:
    the other zone runs it, and the one cut off, which cannot see its own claim, runs nothing and
    says that it may have run. Joined again, it finds the outcome."""

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            assert cluster.platform is not None
            caller = make_caller(cluster)
            cut = cluster.instances["entry-a1"]
            whole = cluster.instances["entry-b1"]
            await cluster.set_route_faults("almaty-a", [cluster.platform], blackhole=True)
            both = [
                caller.send_command(PATH, "k", BODY, node.address, 5.0) for node in (cut, whole)
            ]
            told = await asyncio.gather(*both)
            assert (told[0].verdict, told[1].good) == ("may_have_run", True), told
            await cluster.set_route_faults("almaty-a", [cluster.platform], blackhole=False)
            for _ in range(5):
                told.append(await caller.send_command(PATH, "k", BODY, cut.address, 5.0))
                if told[-1].good:
                    break
                await asyncio.sleep(1.0)
            assert told[-1].good and told[-1].replayed, told
            check_runs(cluster, {"k": told})

    run(work)
