"""The measured deployments: their zones, services, accounts, latencies and kinds of chats."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import msgspec

from loadtool._processes import ROOT


class ChatKind(msgspec.Struct, frozen=True):
    """A kind of chat, with its share of all chats.

    The first message of a chat has a length in the range `history_tokens`, each further one in
    `question_tokens`. An answer has a number of words in the range `answer_words`.
    """

    name: str
    share: float
    history_tokens: tuple[int, int]
    question_tokens: tuple[int, int]
    answer_words: tuple[int, int]


class Deployment(msgspec.Struct, frozen=True):
    """One deployment at its present size.

    `instances`, `engines` and `plains` are numbers of processes; plains are targets of
    `plain_service`, which is not a model engine. `zone_delay` (between zones) and `caller_delay`
    (between callers and the fleet) are one-way latencies in seconds. `chats` is the number of
    concurrent chats. The other fields describe one engine: `prefill_rate` in prompt tokens per
    second, `token_time` in seconds per generated token, `engine_slots` in concurrent requests.
    """

    name: str
    zones: tuple[str, ...]
    instances: int
    engines: int
    plains: int
    zone_delay: float
    caller_delay: float
    engine_service: str
    plain_service: str
    model: str
    accounts: tuple[str, ...]
    chat_kinds: tuple[ChatKind, ...]
    command_path: str
    lookup_path: str
    chats: int
    commands_per_second: float
    lookups_per_second: float
    prefill_rate: float = 10_000.0
    token_time: float = 0.03
    engine_slots: int = 16
    cache_tokens: int = 120_000
    # A new engine can serve `cold_bears` requests at once until it has finished `cold_requests`.
    cold_bears: int = 2
    cold_requests: int = 4

    @property
    def declarations(self) -> Path:
        """The folder with the declarations of the deployment."""
        return ROOT / "examples" / self.name

    def list_engine_options(self) -> tuple[str, ...]:
        """Return the command-line options of its engine stand-ins; each engine starts cold."""
        return (
            *("--slots", str(self.engine_slots)),
            *("--cache-tokens", str(self.cache_tokens)),
            *("--prefill-rate", str(self.prefill_rate)),
            *("--token-time", str(self.token_time)),
            *("--cold-requests", str(self.cold_requests), "--cold-bears", str(self.cold_bears)),
        )


TENGRI: Final = Deployment(
    name="tengri",
    zones=("almaty-a", "almaty-b", "almaty-c"),
    instances=7,
    engines=6,
    plains=3,
    zone_delay=0.001,
    caller_delay=0.001,
    engine_service="planner",
    plain_service="booking",
    model="camp-large",
    accounts=(
        *("pilgrim-groups", "agents", "mela-desk", "river-camps", "kitchen-desk"),
        *("night-desk", "hill-groups", "ghat-agents", "elder-care", "ration-office"),
    ),
    chat_kinds=(
        ChatKind("planning", 0.5, (1_500, 6_000), (20, 150), (20, 50)),
        ChatKind("desk", 0.5, (60, 500), (10, 40), (2, 8)),
    ),
    command_path="/booking/bookings",
    lookup_path="/booking/plots",
    chats=260,
    commands_per_second=6.0,
    lookups_per_second=12.0,
)

RIEGOS: Final = Deployment(
    name="riegos",
    zones=("centro-a", "centro-b", "centro-c"),
    instances=6,
    engines=9,
    plains=3,
    zone_delay=0.0015,
    caller_delay=0.003,
    engine_service="advisor",
    plain_service="pivot",
    model="agronomist",
    accounts=(
        *("franchise-north", "franchise-south", "growers-app", "dealer-rio", "dealer-pampa"),
        *("dealer-sierra", "coop-este", "coop-oeste", "field-crews", "parts-desk"),
    ),
    chat_kinds=(
        ChatKind("diagnosis", 0.35, (2_000, 7_000), (50, 300), (20, 50)),
        ChatKind("status", 0.65, (60, 400), (10, 30), (2, 8)),
    ),
    command_path="/pivot/commands",
    lookup_path="/pivot/status",
    chats=340,
    commands_per_second=8.0,
    lookups_per_second=16.0,
)

DEPLOYMENTS: Final = {deployment.name: deployment for deployment in (TENGRI, RIEGOS)}
