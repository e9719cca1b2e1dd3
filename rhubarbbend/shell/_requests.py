"""Parse callers' requests into events, and write error responses in the documented form."""

from __future__ import annotations

import hashlib
from typing import Final
from urllib.parse import unquote, urlsplit

import attrs
import msgspec
from returns.result import Failure, Result, Success

from rhubarbbend.codes import BAD_REQUEST, UNKNOWN_PATH, ErrorCode
from rhubarbbend.core.events import RequestArrived
from rhubarbbend.decoding import decode_json
from rhubarbbend.http import Exchange

CHAT_PATH: Final = "/v1/chat/completions"
KEYS_PATH: Final = "/v1/reserved-keys"
HEALTH_PATH: Final = "/healthz"
READY_PATH: Final = "/readyz"

CHAT_HEADER: Final = "Rhubarbbend-Chat"
TICKET_HEADER: Final = "Rhubarbbend-Ticket"
DEADLINE_HEADER: Final = "Rhubarbbend-Deadline"
REQUEST_HEADER: Final = "Rhubarbbend-Request-Id"
VERDICT_HEADER: Final = "Rhubarbbend-Verdict"
ATTEMPT_HEADER: Final = "Rhubarbbend-Attempt"
REPLAYED_HEADER: Final = "Rhubarbbend-Replayed"
KEY_HEADER: Final = "Idempotency-Key"

CHARS_PER_TOKEN: Final = 4
MAX_ID_CHARS: Final = 200
MAX_COUNT_CHARS: Final = 9
PART_DIGEST_BYTES: Final = 8
BEARER: Final = "bearer "


class ChatMessage(msgspec.Struct):
    """One message of a chat, with only the fields that routing needs."""

    role: str = ""
    content: str | list[msgspec.Raw] | None = None


class ChatBody(msgspec.Struct):
    """The body of a chat completion request, with only the fields that the fleet reads."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False


@attrs.define(slots=True, frozen=True)
class BadRequest:
    """The reason why a request is rejected as invalid."""

    code: ErrorCode
    detail: str


def digest_key(authorization: str) -> str:
    """Return the digest of a bearer key; an empty string if there is no key."""
    if not authorization.lower().startswith(BEARER):
        return ""
    return hashlib.sha256(authorization[len(BEARER) :].strip().encode()).hexdigest()


def digest_body(method: str, path: str, body: bytes) -> str:
    """Return the digest by which claims and the tracking of suspect requests identify a request."""
    digest = hashlib.blake2b(f"{method} {path}\0".encode(), digest_size=16)
    digest.update(body)
    return digest.hexdigest()


def read_request(
    exchange: Exchange,
    request: str,
    unix_time: float,
    default_deadline: float,
    max_deadline: float,
) -> Result[RequestArrived, BadRequest]:
    """Parse a caller's request.

    `unix_time` is the arrival time as Unix time; deadlines are in seconds. Returns a failure with
    `BadRequest` if the request is invalid.
    """
    deadline = _read_deadline(exchange, default_deadline, max_deadline)
    if deadline is None:
        detail = f"{DEADLINE_HEADER}: expected seconds above 0"
        return Failure(BadRequest(BAD_REQUEST, detail))
    headers = exchange.headers
    for name in (CHAT_HEADER, KEY_HEADER):
        if len(headers.get(name.lower(), "")) > MAX_ID_CHARS:
            return Failure(BadRequest(BAD_REQUEST, f"{name}: more than {MAX_ID_CHARS} characters"))
    path = _parse_path(exchange.target)
    if path is None:
        return Failure(BadRequest(BAD_REQUEST, "the request target is not a valid path"))
    event = RequestArrived(
        request=request,
        key_digest=digest_key(headers.get("authorization", "")),
        service_name="",
        model="",
        method=exchange.method,
        path=path,
        body_digest=digest_body(exchange.method, exchange.target, exchange.body),
        time_left=deadline,
        chat=headers.get(CHAT_HEADER.lower(), ""),
        ticket=headers.get(TICKET_HEADER.lower(), ""),
        key=headers.get(KEY_HEADER.lower(), ""),
        wall=unix_time,
    )
    if path == CHAT_PATH:
        return _read_chat(exchange, event)
    return _read_plain(event)


def _parse_path(target: str) -> str | None:
    """Return the path of a request target; None if there is none or it is ambiguous.

    A path with `.` or `..` segments is ambiguous: a target normalises `/plots/../bookings`, while
    the fleet does not. The fleet could take an operation that is not idempotent for one that is,
    and run it twice.
    """
    try:
        path = urlsplit(target).path
    except ValueError:
        return None
    names = unquote(path).replace("\\", "/").split("/")
    if not path.startswith("/") or "." in names or ".." in names:
        return None
    return path


def read_count(text: str) -> int:
    """Parse the number of reserved keys that a caller requests; return 0 if it is not a number."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_COUNT_CHARS:
        return 0
    return int(text)


def _read_deadline(
    exchange: Exchange, default_deadline: float, max_deadline: float
) -> float | None:
    text = exchange.headers.get(DEADLINE_HEADER.lower())
    if text is None:
        return default_deadline
    try:
        seconds = float(text)
    except ValueError:
        return None
    return min(seconds, max_deadline) if seconds > 0 else None


def _read_chat(exchange: Exchange, event: RequestArrived) -> Result[RequestArrived, BadRequest]:
    if exchange.method != "POST":
        return Failure(BadRequest(BAD_REQUEST, "expected POST"))
    try:
        body = decode_json(exchange.body, type=ChatBody)
    except msgspec.MsgspecError as error:
        return Failure(BadRequest(BAD_REQUEST, str(error)))
    event.model = body.model
    event.stream = body.stream
    event.tokens = len(exchange.body) // CHARS_PER_TOKEN
    event.parts = tuple(_digest_message(message) for message in body.messages[:-1])
    if not event.chat:
        event.chat = _derive_chat_id(body)
    return Success(event)


def _digest_message(message: ChatMessage) -> str:
    """Return a digest of a message, the same in each prompt that holds it."""
    digest = hashlib.blake2b(message.role.encode(), digest_size=PART_DIGEST_BYTES)
    content = message.content
    if isinstance(content, str):
        digest.update(content.encode())
    for item in content if isinstance(content, list) else ():
        digest.update(bytes(item))
    return digest.hexdigest()


def _derive_chat_id(body: ChatBody) -> str:
    """Derive the id of a chat that has none from its first user message.

    That message stays the same as the history of the chat grows.
    """
    first = next((m.content for m in body.messages if m.role == "user"), None)
    if not isinstance(first, str):
        return ""
    return "~" + hashlib.blake2b(first.encode(), digest_size=12).hexdigest()


def _read_plain(event: RequestArrived) -> Result[RequestArrived, BadRequest]:
    parts = event.path.split("/", 2)
    if len(parts) < 2 or not parts[1] or parts[1] == "v1":
        return Failure(BadRequest(UNKNOWN_PATH, event.path))
    event.service_name = parts[1]
    event.path = "/" + (parts[2] if len(parts) > 2 else "")
    return Success(event)


def strip_service_name(target: str) -> str:
    """Return the path and query that a plain service receives: without the service's name."""
    rest = target.split("/", 2)
    return "/" + (rest[2] if len(rest) > 2 else "")


def write_error(
    exchange: Exchange,
    request: str,
    code: ErrorCode,
    verdict: str,
    attempt: str,
    retry_after: float,
    detail: str = "",
) -> None:
    """Respond with an error in the documented JSON form; `retry_after` is in seconds."""
    error: dict[str, object] = {
        "code": code.name,
        "message": f"{code.message}: {detail}" if detail else code.message,
        "verdict": verdict,
        "attempt": attempt,
        "request_id": request,
    }
    headers = [
        ("Content-Type", "application/json"),
        (REQUEST_HEADER, request),
        (VERDICT_HEADER, verdict),
        (ATTEMPT_HEADER, attempt),
    ]
    if retry_after > 0:
        error["retry_after"] = retry_after
        headers.append(("Retry-After", str(max(1, round(retry_after + 0.499)))))
    exchange.respond(code.status, headers, msgspec.json.encode({"error": error}))
