"""Commands under faults: a key runs at most once, and "not run" is reported only if it is true."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from loadtool import Caller, Cluster
from loadtool._caller import Answer
from loadtool._cluster import Node
from tests.fleet.harness import make_caller, run_with_timeout, start_fleet, wait_until

PATH = "/booking/bookings"
BODY = b'{"plot": 7}'


def check_run_counts(cluster: Cluster, answers_by_key: dict[str, list[Answer]]) -> None:
    """Check the runs in the services' journals against the callers' answers for each key."""
    runs = cluster.count_runs_by_key()
    for key, answers in answers_by_key.items():
        count = runs.get(key, 0)
        assert count <= 1, f"{key} ran {count} times: {answers}"
        for answer in answers:
            assert not answer.is_incorrect, answer
            if answer.verdict == "not_run" and answer is answers[-1]:
                assert count == 0, f"{key} ran but the caller was told that it did not: {answers}"
            if answer.is_correct:
                assert count == 1, f"{key} was answered but did not run"


async def retry_until_outcome_known(
    caller: Caller, key: str, answers: list[Answer], max_tries: int = 12, deadline: float = 5.0
) -> Answer:
    """Send a command under its key through one instance after another until it succeeds.

    Append every answer to `answers` and return the last. `deadline` is in seconds.
    """
    for _ in range(max_tries):
        answer = await caller.send_command(PATH, key, BODY, deadline=deadline)
        answers.append(answer)
        if answer.is_correct:
            return answer
        await asyncio.sleep(min(answer.retry_after, 2.0) or 0.1)
    raise AssertionError(f"outcome not known after {max_tries} tries: {answers}")


async def send_to_all_running_instances(
    cluster: Cluster, caller: Caller, key: str, answers: list[Answer]
) -> None:
    """Send the command through every running instance at once and append the answers."""
    running = [node for node in cluster.instances.values() if node.process.running]
    sends = [caller.send_command(PATH, key, BODY, node.address, 4.0) for node in running]
    answers.extend(await asyncio.gather(*sends))


async def wait_for_run(cluster: Cluster, key: str) -> None:
    """Wait until a service has run the key."""

    async def has_run() -> bool:
        return key in cluster.count_runs_by_key()

    await wait_until(f"{key} has been run by a service", has_run)


async def wait_for_claim(cluster: Cluster, key: str) -> None:
    """Wait until the key's claim is in the platform's table."""
    assert cluster.platform is not None
    platform = cluster.platform

    async def is_claimed() -> bool:
        rows = await cluster.call_admin(platform, "rows?table=claims")
        return any(row["key"].endswith("/" + key) for row in rows)

    await wait_until(f"{key} has a claim in the table", is_claimed)


def list_plain_services(cluster: Cluster) -> list[Node]:
    """Return the nodes of the plain services."""
    return [node for node in cluster.targets.values() if node.kind == "plain"]


async def set_plain_service_faults(cluster: Cluster, **faults: object) -> None:
    """Set the same faults on every plain service."""
    for node in list_plain_services(cluster):
        await cluster.set_faults(node, **faults)


def test_command_runs_once_when_platform_answers_are_lost(tmp_path: Path) -> None:
    """The platform writes a claim but its answer is lost, sometimes several times in a row.

    The caller gets its answer late, or learns that the command may have run and retries through
    another instance. The instance finds its own claim in the table, so the command runs, and only
    once.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            assert cluster.platform is not None
            caller = make_caller(cluster)
            answers_by_key: dict[str, list[Answer]] = {}
            for number in range(1, 4):
                key = f"lost-{number}"
                answers_by_key[key] = []
                await cluster.set_faults(cluster.platform, lose_answers=number)
                await retry_until_outcome_known(caller, key, answers_by_key[key])
                await cluster.set_faults(cluster.platform, lose_answers=0)
                await send_to_all_running_instances(cluster, caller, key, answers_by_key[key])
            check_run_counts(cluster, answers_by_key)
            assert len(cluster.count_runs_by_key()) == 3

    run_with_timeout(work)


@pytest.mark.parametrize("fault", ["kill", "freeze"])
@pytest.mark.parametrize("moment", ["before_dispatch", "in_flight"])
def test_command_runs_at_most_once_when_its_instance_is_lost(
    tmp_path: Path, fault: str, moment: str
) -> None:
    """An instance is killed, or frozen and later continued, while it holds a command.

    The command is claimed but not sent, or sent but not answered. The caller retries through an
    instance in another zone, which finds the claim and asks its holder. An unknown outcome is
    reported as in doubt; the command never runs twice.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            first = cluster.instances["entry-a1"]
            second = cluster.instances["entry-b1"]
            caller = make_caller(cluster)
            answers_by_key: dict[str, list[Answer]] = {"k": []}
            if moment == "before_dispatch":
                # The claim is written, but the platform's answer is lost before the fault.
                assert cluster.platform is not None
                await cluster.set_faults(cluster.platform, lose_answers=1)
            else:
                await set_plain_service_faults(cluster, hold=1.0)
            pending_answer = asyncio.create_task(
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
                answers_by_key["k"].append(answer)
            if fault == "kill":
                assert (await pending_answer).failure
                await send_to_all_running_instances(cluster, caller, "k", answers_by_key["k"])
                check_run_counts(cluster, answers_by_key)
                return
            first.process.resume()
            answers_by_key["k"].append(await pending_answer)
            final_answer = await retry_until_outcome_known(caller, "k", answers_by_key["k"])
            assert final_answer.is_correct
            await send_to_all_running_instances(cluster, caller, "k", answers_by_key["k"])
            check_run_counts(cluster, answers_by_key)

    run_with_timeout(work)


def test_command_is_not_run_again_when_its_target_is_killed(tmp_path: Path) -> None:
    """The service is killed after it has run a command and before it answers.

    Every instance tells the caller that the command may have run, and none runs it again.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            caller = make_caller(cluster)
            await set_plain_service_faults(cluster, crash_after=True)
            answers = [await caller.send_command(PATH, "k", BODY)]
            await wait_until_one_has_ended(cluster)
            await set_faults_of_running_plain_services(cluster, crash_after=False)
            for node in cluster.instances.values():
                answers.append(await caller.send_command(PATH, "k", BODY, node.address))
            assert [answer.verdict for answer in answers] == ["may_have_run"] * 3, answers
            await send_to_all_running_instances(cluster, caller, "k", answers)
            check_run_counts(cluster, {"k": answers})

    run_with_timeout(work)


async def wait_until_one_has_ended(cluster: Cluster) -> None:
    """Wait until the event loop knows of the service that crashed; its caller may know before."""

    async def has_ended() -> bool:
        return any(not node.process.running for node in list_plain_services(cluster))

    await wait_until("a service has ended", has_ended)


async def set_faults_of_running_plain_services(cluster: Cluster, **faults: object) -> None:
    """Set faults on the plain services that have not crashed."""
    for node in list_plain_services(cluster):
        if node.process.running:
            await cluster.set_faults(node, **faults)


def test_command_is_not_run_again_when_its_connection_goes_silent(tmp_path: Path) -> None:
    """The connection of a command goes silent after the service got it and before it answered.

    The caller's deadline passes: the command may have run. Meanwhile other commands use new
    connections. The key never runs again.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            caller = make_caller(cluster)
            await set_plain_service_faults(cluster, hold=0.5)
            pending_answer = asyncio.create_task(caller.send_command(PATH, "k", BODY, deadline=3.0))
            await wait_for_run(cluster, "k")
            for zone in cluster.zones:
                await cluster.set_route_faults(zone, list_plain_services(cluster), freeze=True)
            await set_plain_service_faults(cluster, hold=0.0)
            other_answer = await caller.send_command(PATH, "other", BODY)
            assert other_answer.is_correct, other_answer
            answers = [await pending_answer]
            assert answers[0].verdict == "may_have_run", answers
            for node in cluster.instances.values():
                answer = await caller.send_command(PATH, "k", BODY, node.address, deadline=1.0)
                assert answer.verdict == "may_have_run", answer
                answers.append(answer)
            await send_to_all_running_instances(cluster, caller, "k", answers)
            check_run_counts(cluster, {"k": answers, "other": [other_answer]})

    run_with_timeout(work)


def test_same_key_sent_to_two_zones_at_once_runs_once(tmp_path: Path) -> None:
    """A caller sends each command through two instances in different zones at once.

    One instance's claim wins, and both callers get the answer of the one run. The same key with
    another body or query is refused as a conflict.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            caller = make_caller(cluster)
            await set_plain_service_faults(cluster, hold=0.2)
            nodes = list(cluster.instances.values())
            answers_by_key: dict[str, list[Answer]] = {}
            for number in range(5):
                key = f"twin-{number}"
                sends = [caller.send_command(PATH, key, BODY, node.address) for node in nodes]
                answers_by_key[key] = await asyncio.gather(*sends)
                assert all(answer.is_correct for answer in answers_by_key[key]), answers_by_key[key]
                assert len({answer.body for answer in answers_by_key[key]}) == 1
            for node in nodes:
                conflict = await caller.send_command(PATH, "twin-0", b'{"plot": 8}', node.address)
                assert (conflict.status, conflict.code) == (422, "idempotency_key_reused"), conflict
                query_conflict = await caller.send_command(
                    PATH + "?a=1", "twin-0", BODY, node.address
                )
                assert query_conflict.code == "idempotency_key_reused", query_conflict
            check_run_counts(cluster, answers_by_key)

    run_with_timeout(work)


def test_reserved_keys_work_while_the_platform_is_down(tmp_path: Path) -> None:
    """Commands under reserved keys run while the platform is down.

    They run through the issuer and through an instance of another zone, and a key that is sent
    twice gets the answer of the first run. Other commands are refused at once. When the issuer is
    gone, its keys are in doubt and never run.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            assert cluster.platform is not None
            caller = make_caller(cluster)
            issuer = cluster.instances["entry-a1"]
            other = cluster.instances["entry-b1"]
            keys = await caller.reserve_keys(6, issuer.address)
            await cluster.set_faults(cluster.platform, outage=True)
            answers_by_key: dict[str, list[Answer]] = {key: [] for key in keys}
            for key in keys[:4]:
                for node in (other, issuer, other):
                    answer = await caller.send_command(PATH, key, BODY, node.address)
                    assert answer.is_correct, answer
                    answers_by_key[key].append(answer)
                conflict = await caller.send_command(PATH, key, b"{}", other.address)
                assert conflict.code == "idempotency_key_reused", conflict
            twin_sends = [
                caller.send_command(PATH, keys[4], BODY, node.address) for node in (issuer, other)
            ]
            answers_by_key[keys[4]] = await asyncio.gather(*twin_sends)
            assert all(answer.is_correct for answer in answers_by_key[keys[4]]), answers_by_key[
                keys[4]
            ]
            unreserved = await caller.send_command(PATH, "plain", BODY, issuer.address)
            assert (unreserved.code, unreserved.verdict) == (
                "platform_down",
                "may_have_run",
            ), unreserved
            forged_key = keys[5][:-1] + ("0" if keys[5][-1] != "0" else "1")
            forged_key_answer = await caller.send_command(PATH, forged_key, BODY, other.address)
            assert forged_key_answer.code == "idempotency_key_invalid", forged_key_answer
            await issuer.process.kill()
            for key in (keys[0], keys[5]):
                answer_after_kill = await caller.send_command(
                    PATH, key, BODY, other.address, deadline=4.0
                )
                assert answer_after_kill.verdict == "may_have_run", answer_after_kill
                answers_by_key[key].append(answer_after_kill)
            check_run_counts(cluster, answers_by_key)
            assert cluster.count_runs_by_key() == dict.fromkeys(keys[:5], 1)

    run_with_timeout(work)


def test_command_outlives_its_callers_deadline(tmp_path: Path) -> None:
    """The service takes longer than the caller's deadline.

    The caller is told that its command may have run. The command continues; a retry through any
    instance gets its answer.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            caller = make_caller(cluster)
            await set_plain_service_faults(cluster, hold=1.5)
            answers = [await caller.send_command(PATH, "k", BODY, deadline=0.7)]
            assert answers[0].verdict == "may_have_run", answers
            final_answer = await retry_until_outcome_known(caller, "k", answers)
            assert final_answer.replayed
            check_run_counts(cluster, {"k": answers})

    run_with_timeout(work)


def test_zone_cut_off_from_the_platform_does_not_run_a_key_of_another_zone(tmp_path: Path) -> None:
    """One zone cannot reach the platform; the same key is sent there and to another zone at once.

    The other zone runs it. The zone that is cut off cannot see its own claim, runs nothing and
    reports that the command may have run. Once reconnected, it finds the outcome.
    """

    async def work() -> None:
        async with start_fleet(tmp_path, engines=0) as cluster:
            assert cluster.platform is not None
            caller = make_caller(cluster)
            cut_off = cluster.instances["entry-a1"]
            connected = cluster.instances["entry-b1"]
            await cluster.set_route_faults("almaty-a", [cluster.platform], blackhole=True)
            sends = [
                caller.send_command(PATH, "k", BODY, node.address, 5.0)
                for node in (cut_off, connected)
            ]
            answers = await asyncio.gather(*sends)
            assert (answers[0].verdict, answers[1].is_correct) == ("may_have_run", True), answers
            await cluster.set_route_faults("almaty-a", [cluster.platform], blackhole=False)
            for _ in range(5):
                answers.append(await caller.send_command(PATH, "k", BODY, cut_off.address, 5.0))
                if answers[-1].is_correct:
                    break
                await asyncio.sleep(1.0)
            assert answers[-1].is_correct and answers[-1].replayed, answers
            check_run_counts(cluster, {"k": answers})

    run_with_timeout(work)
