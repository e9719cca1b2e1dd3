"""HTTP/1.1 on both sides of an instance: the public face of the h11 server and client.

The server answers callers, the client talks to targets and to the platform. Both are plain
asyncio streams around h11; neither takes a decision, which is the core's work.
"""

from rhubarbbend.http._client import (
    REASON_TIMEOUT,
    BodyRelay,
    Connection,
    ConnectionPool,
    HttpFailure,
    Response,
    SendStage,
    fetch,
)
from rhubarbbend.http._server import Exchange, HttpServer, ServerLimits

__all__ = [
    "BodyRelay",
    "Connection",
    "ConnectionPool",
    "Exchange",
    "HttpFailure",
    "REASON_TIMEOUT",
    "HttpServer",
    "Response",
    "SendStage",
    "ServerLimits",
    "fetch",
]
