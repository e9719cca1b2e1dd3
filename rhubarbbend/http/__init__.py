"""HTTP/1.1 server and client of an instance, built on asyncio and h11.

The server answers callers; the client sends requests to targets and to the platform. Neither
decides what to do with a request: routing and retries are decided by the core.
"""

from rhubarbbend.http._answer_buffer import ClientEnd, shed_excess, wait_for_room
from rhubarbbend.http._body_forwarder import BodyRelay, BodyTimeoutPolicy, SilenceClock
from rhubarbbend.http._client_connection import IDLE_ENDS, ConnectionEnd
from rhubarbbend.http._connection import Connection, Response
from rhubarbbend.http._exchange import Exchange
from rhubarbbend.http._failures import (
    CONNECT_ERRORS,
    REASON_TIMEOUT,
    BodyEnd,
    EndlessAnswer,
    HttpFailure,
    SendStage,
)
from rhubarbbend.http._input_timeout import INPUT_LOOP_ITERATIONS, InputTimeout
from rhubarbbend.http._notices import read_brittle, read_leaving, read_pause
from rhubarbbend.http._pool import (
    ConnectionOpener,
    ConnectionPool,
    fetch,
    receive_whole_body,
)
from rhubarbbend.http._protocol import ClientProtocol, reset_connection, set_keepalive
from rhubarbbend.http._receive_limits import SMALL_BODY_PART_BYTES, TrickleDetector
from rhubarbbend.http._server import HttpServer
from rhubarbbend.http._server_limits import ServerLimits, compute_max_connections

__all__ = [
    "BodyEnd",
    "BodyTimeoutPolicy",
    "BodyRelay",
    "CONNECT_ERRORS",
    "ClientEnd",
    "ClientProtocol",
    "Connection",
    "ConnectionEnd",
    "ConnectionOpener",
    "ConnectionPool",
    "IDLE_ENDS",
    "EndlessAnswer",
    "Exchange",
    "HttpFailure",
    "REASON_TIMEOUT",
    "HttpServer",
    "INPUT_LOOP_ITERATIONS",
    "InputTimeout",
    "Response",
    "SMALL_BODY_PART_BYTES",
    "SendStage",
    "SilenceClock",
    "TrickleDetector",
    "ServerLimits",
    "compute_max_connections",
    "fetch",
    "read_brittle",
    "read_leaving",
    "read_pause",
    "receive_whole_body",
    "reset_connection",
    "set_keepalive",
    "shed_excess",
    "wait_for_room",
]
