"""Tests of how instances tell one another what they have found out."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from types import SimpleNamespace
from typing import Any, cast

import pytest

from rhubarbbend.core.detours import ReachTable
from rhubarbbend.gateway import _update_broadcaster
from rhubarbbend.gateway._peer_updates import PeerUpdate
from rhubarbbend.gateway._update_broadcaster import MAX_REACH_TRIES, UpdateBroadcaster


class SlowRelay:
    """Stands in for the other instances: one relay does not reply to the first messages."""

    def __init__(self, missed_count: int) -> None:
        self._missed_count = missed_count
        # The relays that each message was sent to beside the usual ones, and its notices.
        self.sent: list[tuple[set[str], list[bool]]] = []

    async def deliver(self, update: PeerUpdate, also: Collection[str]) -> set[str]:
        self.sent.append((set(also), [notice.is_reached for notice in update.reach]))
        return {"relay"} if len(self.sent) <= self._missed_count else set()


def broadcast_loss(missed_count: int) -> SlowRelay:
    """Have an instance find that it does not reach a service; return what was sent for a while."""
    reach = ReachTable("own")
    state = SimpleNamespace(
        settings=SimpleNamespace(instance="own"),
        placement=SimpleNamespace(prompt_locations=SimpleNamespace()),
        health=SimpleNamespace(),
        brittle=SimpleNamespace(),
        connection_limits=SimpleNamespace(),
        reach=reach,
    )
    peers = SlowRelay(missed_count)
    broadcaster = UpdateBroadcaster(cast(Any, state), cast(Any, peers))

    async def work() -> None:
        task = asyncio.create_task(broadcaster._broadcast_reach())
        await asyncio.sleep(0)
        reach.record_unreached("llm", 0.0)
        await asyncio.sleep(0.2)
        task.cancel()

    asyncio.run(work())
    return peers


@pytest.fixture(autouse=True)
def _send_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_update_broadcaster, "REACH_INTERVAL_S", 0.001)


# Guards against instances that never learn of a cut since the relay at which they wait was slow,
# and the sender went on with another one.
def test_a_relay_that_did_not_reply_is_told_again() -> None:
    peers = broadcast_loss(missed_count=2)
    assert peers.sent == [(set(), [False]), ({"relay"}, [False]), ({"relay"}, [False])]


# Guards against messages without end to a relay that has ended.
def test_a_relay_that_never_replies_is_given_up() -> None:
    assert len(broadcast_loss(missed_count=1_000).sent) == MAX_REACH_TRIES
