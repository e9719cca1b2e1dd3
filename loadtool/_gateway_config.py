"""The configuration that the load tool's operators put in force on the stand-in of the platform."""

from __future__ import annotations

from typing import Any, Final

HOST: Final = "chats.example"
KEY: Final = "key-of-the-pilgrims"
ACCOUNT: Final = "pilgrims"


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
