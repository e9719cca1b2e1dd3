"""HTTP/1.1 on both sides of an instance: the public face of the h11 server and client.

The server answers callers, the client talks to targets and to the platform. Both are plain
asyncio streams around h11; neither takes a decision, which is the core's work.
"""

from rhubarbbend.http._connection import Connection, Response
from rhubarbbend.http._exchange import Exchange
from rhubarbbend.http._failures import REASON_TIMEOUT, HttpFailure, SendStage
from rhubarbbend.http._pool import ConnectionPool, fetch
from rhubarbbend.http._pump import BodyPatience, BodyRelay
from rhubarbbend.http._server import HttpServer, ServerLimits

__all__ = [
    "BodyPatience",
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
