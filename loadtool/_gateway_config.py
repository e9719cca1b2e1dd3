"""The configuration and the settings that the load tool gives to instances before stand-ins."""

from __future__ import annotations

from typing import Any, Final

HOST: Final = "chats.example"
KEY: Final = "key-of-the-pilgrims"
ACCOUNT: Final = "pilgrims"
BOUNDS: Final = {
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 52,
    "coldOvershoot": 1.5,
    "coldSlack": 2,
    "capFactor": 2,
    "graceS": 8,
}
# Stated where versions may be rolled out.
ROLLOUT_BOUNDS: Final = {"exposureShare": 0.1, "exposureSlack": 10}


def make_route(name: str, prefix: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    route = {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 3_000,
        "sloMs": 300,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        "gapTargetMs": 200,
    }
    return {**route, **fields}


def make_config(version: int = 1, **changes: Any) -> dict[str, Any]:
    engine = {"slots": 64, "kvCapacityTokens": 100_000, "kvTokenBytes": 1_000}
    config = {
        "version": version,
        "routes": [
            make_route("read", "/read/", "safe", "plain"),
            make_route("book", "/book/", "unsafe", "plain", maxAttempts=1),
            make_route("open", "/open/", "safe", "plain", public=True),
            make_route("chat", "/chat/", "streaming", "llm", sticky=True, resumable=True),
            make_route("plan", "/plan/", "streaming", "llm", sticky=True, maxAttempts=1),
        ],
        "services": [
            {"name": "plain", "maxConns": 96, "coldStartS": 0.0, "coldPerS": 0.0},
            {"name": "llm", "maxConns": 96, "coldStartS": 3.0, "coldPerS": 4.0, "engine": engine},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_048_576,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": ACCOUNT, "apiKeys": [KEY, "second-key"], "priority": 3}],
    }
    return {**config, **changes}


def make_instance_settings(
    name: str,
    zone: str,
    listen: dict[str, str],
    seeds: list[str],
    store: str,
    has_rollouts: bool,
) -> dict[str, Any]:
    """Return the settings file of an instance; `listen` and `seeds` hold HOST:PORT."""
    return {
        "nodeName": name,
        "ip": listen["control"].partition(":")[0],
        "zone": zone,
        "listen": listen,
        "seeds": seeds,
        "limits": {"maxFds": 1_024},
        "bounds": {**BOUNDS, **(ROLLOUT_BOUNDS if has_rollouts else {})},
        "platform": {"address": store},
        # A run starts the whole system for the first time.
        "bootstrap": True,
        "aFieldNobodyKnows": {"of": "the future"},
    }
