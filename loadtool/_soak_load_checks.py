"""Checks of a soak run in which demand exceeds what the targets can do (hard load).

They compare shares of requests that were served, as callers saw it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Final

import attrs

from loadtool._soak_checks import (
    AT_MOST_ONCE_KINDS,
    MIN_UNDISTURBED_S,
    NOT_EXECUTED_STATUSES,
    TOLERANCE_S,
    Period,
    RequestOutcome,
    RunRecord,
)
from loadtool._soak_schedule import FaultScope
from standins._worker_types import Arrival

# Groups with fewer requests are not judged: their shares vary too much by chance.
MIN_REQUESTS: Final = 40
# The specification's minimum share, as a part of the share of all requests.
MIN_SHARE_OF_ALL: Final = 0.25
# A more urgent route may be served less often by this much of its requests; three standard
# deviations of a share of 200 requests.
MAX_SHARE_BEHIND: Final = 0.1
# The largest requests of a route are this part of its requests.
LARGEST_PART: Final = 0.1
# From this long after the end of the load, requests are served as before it, which allows for
# chance and for the faults of the run.
RECOVERY_S: Final = 2.0
MIN_SHARE_OF_CALM: Final = 0.9
# A request that takes longer is not served as before. Work takes 0.3 s, 0.75 s at a slow target.
IN_TIME_S: Final = 1.0


@attrs.define(slots=True, frozen=True)
class LoadRoute:
    """The service of a route and its priority, 0 the most urgent."""

    service: str
    priority: int


@attrs.define(slots=True)
class LoadRecord:
    """The load of a run; `calm` is the time before it, and `ended_at` the end of the run.

    `account_by_key` names the account of each key, `zone_by_instance` the zone of each instance.
    """

    calm: Period
    load: Period
    ended_at: float
    routes: dict[str, LoadRoute]
    account_by_key: dict[str, str]
    zone_by_instance: dict[str, str]


def find_load_violations(
    record: RunRecord, load: LoadRecord, arrivals: Sequence[Arrival]
) -> list[str]:
    """Return a line for each violated guarantee; the word before the colon names it."""
    requests = select_requests(record, load.load.since, load.load.until)
    return [
        *_find_starved(requests, load),
        *_find_urgent_behind(requests, load),
        *_find_late_recovery(record, load),
        *_find_refused_that_ran(record, arrivals),
    ]


def select_requests(record: RunRecord, since: float, until: float) -> list[RequestOutcome]:
    """Return the requests that were sent in a time to instances without a fault.

    Requests that were denied for their key are judged elsewhere.
    """
    return [
        outcome
        for outcome in record.outcomes
        if since <= outcome.sent_at < until
        and outcome.status not in (401, 403, 404)
        and not _is_instance_disturbed(record, outcome)
    ]


def compute_share(requests: Sequence[RequestOutcome]) -> float:
    """Return the share of requests that were served; 1.0 if there are none."""
    return sum(_is_served(request) for request in requests) / len(requests) if requests else 1.0


def _is_served(outcome: RequestOutcome) -> bool:
    return outcome.status == 200 and outcome.complete


def _is_instance_disturbed(record: RunRecord, outcome: RequestOutcome) -> bool:
    """Return whether the instance had a fault while it had the request or shortly before."""
    return any(
        scheduled.fault.scope is FaultScope.INSTANCE
        and scheduled.victim == outcome.instance
        and record.started + scheduled.at <= outcome.ended_at + TOLERANCE_S
        and record.started + scheduled.until >= outcome.sent_at - MIN_UNDISTURBED_S
        for scheduled in record.scheduled_faults
    )


def _find_starved(requests: Sequence[RequestOutcome], load: LoadRecord) -> Iterable[str]:
    """Check that each group is served at least a quarter as often as all requests."""
    of_all = compute_share(requests)
    for name, group in sorted(_group(requests, load).items()):
        share = compute_share(group)
        if len(group) >= MIN_REQUESTS and share < MIN_SHARE_OF_ALL * of_all:
            yield (
                f"starved: {name}: {share:.2f} of {len(group)} requests served, "
                f"{of_all:.2f} of all {len(requests)}"
            )


def _group(requests: Sequence[RequestOutcome], load: LoadRecord) -> dict[str, list[RequestOutcome]]:
    """Group requests by route, account, zone and session, and the largest ones by route."""
    groups: dict[str, list[RequestOutcome]] = defaultdict(list)
    with_prompt: dict[str, list[RequestOutcome]] = defaultdict(list)
    for request in requests:
        groups[f"route {request.kind}"].append(request)
        groups[f"account {load.account_by_key.get(request.key, '')}"].append(request)
        groups[f"zone {load.zone_by_instance.get(request.instance, '')}"].append(request)
        if request.prompt:
            groups[f"session {_list_parts(request.prompt)[1][0]}"].append(request)
            with_prompt[request.kind].append(request)
    for kind, members in with_prompt.items():
        members.sort(key=lambda request: _count_tokens(request.prompt), reverse=True)
        groups[f"largest of {kind}"] = members[: int(LARGEST_PART * len(members))]
    return groups


def _list_parts(prompt: str) -> list[tuple[str, int]]:
    parts = [entry.partition(":") for entry in prompt.split(",")]
    return [(name, int(size)) for name, _, size in parts]


def _count_tokens(prompt: str) -> int:
    return sum(size for _, size in _list_parts(prompt))


def _find_urgent_behind(requests: Sequence[RequestOutcome], load: LoadRecord) -> Iterable[str]:
    """Check that no route is served much worse than a less urgent one of its service."""
    by_kind: dict[str, list[RequestOutcome]] = defaultdict(list)
    for request in requests:
        by_kind[request.kind].append(request)
    judged = sorted(kind for kind, group in by_kind.items() if len(group) >= MIN_REQUESTS)
    for kind in judged:
        for other in judged:
            route, less_urgent = load.routes[kind], load.routes[other]
            if route.service != less_urgent.service or route.priority >= less_urgent.priority:
                continue
            share, other_share = compute_share(by_kind[kind]), compute_share(by_kind[other])
            if share < other_share - MAX_SHARE_BEHIND:
                yield (
                    f"urgent: {kind} (priority {route.priority}): {share:.2f} of "
                    f"{len(by_kind[kind])} served, {other} (priority {less_urgent.priority}): "
                    f"{other_share:.2f} of {len(by_kind[other])}"
                )


def _find_late_recovery(record: RunRecord, load: LoadRecord) -> Iterable[str]:
    """Check for each service that requests are served as before soon after the load."""
    calm = select_requests(record, load.calm.since, load.calm.until)
    after = select_requests(record, load.load.until + RECOVERY_S, load.ended_at)
    for service in sorted({route.service for route in load.routes.values()}):
        before_count, before = _compute_in_time(calm, load, service)
        after_count, now = _compute_in_time(after, load, service)
        if min(before_count, after_count) >= MIN_REQUESTS and now < MIN_SHARE_OF_CALM * before:
            yield (
                f"calm: {service}: {now:.2f} of {after_count} in time from {RECOVERY_S:g} s after "
                f"the load on, {before:.2f} of {before_count} before it"
            )


def _compute_in_time(
    requests: Sequence[RequestOutcome], load: LoadRecord, service: str
) -> tuple[int, float]:
    """Return the number of requests to a service and the share served in time."""
    outcomes = [r for r in requests if load.routes[r.kind].service == service]
    in_time = sum(_is_served(o) and o.ended_at - o.sent_at <= IN_TIME_S for o in outcomes)
    return len(outcomes), in_time / len(outcomes) if outcomes else 1.0


def _find_refused_that_ran(record: RunRecord, arrivals: Sequence[Arrival]) -> Iterable[str]:
    """Check that what may run more than once did not run either if it was refused as "not run".

    The checks of every run do so for the other kinds of request.
    """
    ran = {arrival.id: arrival for arrival in arrivals if arrival.ran}
    for outcome in record.outcomes:
        if outcome.status not in NOT_EXECUTED_STATUSES or outcome.kind in AT_MOST_ONCE_KINDS:
            continue
        if outcome.id in ran:
            yield (
                f"refused: {outcome.id} ({outcome.kind}) got {outcome.status} and ran at "
                f"{ran[outcome.id].worker}"
            )
