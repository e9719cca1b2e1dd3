"""Reads callers' requests into events, and writes the core's answers in the documented form."""

from __future__ import annotations

import hashlib
from typing import Final
from urllib.parse import unquote, urlsplit

import attrs
import msgspec
from returns.result import Failure, Result, Success

from rhubarbbend.codes import BAD_REQUEST, UNKNOWN_PATH, ErrorCode
from rhubarbbend.core.events import RequestArrived
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
BEARER: Final = "bearer "


class ChatMessage(msgspec.Struct):
    """One message of a chat; only what routing needs is read."""

    role: str = ""
    content: str | list[msgspec.Raw] | None = None


class ChatBody(msgspec.Struct):
    """The body of a chat completion, as far as the fleet reads it."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False


@attrs.define(slots=True, frozen=True)
class BadRequest:
    """Why a request cannot be read."""

    code: ErrorCode
    detail: str


def digest_key(authorization: str) -> str:
    """Give the digest of a bearer key, empty if there is none."""
    if not authorization.lower().startswith(BEARER):
        return ""
    return hashlib.sha256(authorization[len(BEARER) :].strip().encode()).hexdigest()


def digest_body(method: str, path: str, body: bytes) -> str:
    """Give the digest under which a request is known to claims and suspects."""
    digest = hashlib.blake2b(f"{method} {path}\0".encode(), digest_size=16)
    digest.update(body)
    return digest.hexdigest()


def read_request(
    exchange: Exchange,
    request: str,
    wall: float,
    default_deadline: float,
    max_deadline: float,
) -> Result[RequestArrived, BadRequest]:
    """Read a caller's request; `wall` is Unix time, deadlines are in seconds."""
    deadline = _read_deadline(exchange, default_deadline, max_deadline)
    if deadline is None:
        detail = f"{DEADLINE_HEADER}: expected seconds above 0"
        return Failure(BadRequest(BAD_REQUEST, detail))
    headers = exchange.headers
    for name in (CHAT_HEADER, KEY_HEADER):
        if len(headers.get(name.lower(), "")) > MAX_ID_CHARS:
            return Failure(BadRequest(BAD_REQUEST, f"{name}: more than {MAX_ID_CHARS} characters"))
    path = _read_path(exchange.target)
    if path is None:
        return Failure(BadRequest(BAD_REQUEST, "the target is no path"))
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
        wall=wall,
    )
    if path == CHAT_PATH:
        return _read_chat(exchange, event)
    return _read_plain(event)


def _read_path(target: str) -> str | None:
    """Give the path of a request target; None if it has none that means one thing.

    A target normalises `/plots/../bookings` where the fleet does not: an operation that is not
    idempotent would pass for one that is, and could be run twice.
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
    """Read the number of reserved keys that a caller asks for; 0 if it is no number."""
    if not text.isascii() or not text.isdigit() or len(text) > MAX_COUNT_CHARS:
        return 0
    return int(text)


def _read_deadline(exchange: Exchange, default: float, longest: float) -> float | None:
    text = exchange.headers.get(DEADLINE_HEADER.lower())
    if text is None:
        return default
    try:
        seconds = float(text)
    except ValueError:
        return None
    return min(seconds, longest) if seconds > 0 else None


def _read_chat(exchange: Exchange, event: RequestArrived) -> Result[RequestArrived, BadRequest]:
    if exchange.method != "POST":
        return Failure(BadRequest(BAD_REQUEST, "expected POST"))
    try:
        body = msgspec.json.decode(exchange.body, type=ChatBody)
    except msgspec.MsgspecError as error:
        return Failure(BadRequest(BAD_REQUEST, str(error)))
    event.model = body.model
    event.stream = body.stream
    event.tokens = len(exchange.body) // CHARS_PER_TOKEN
    if not event.chat:
        event.chat = _derive_chat(body)
    return Success(event)


def _derive_chat(body: ChatBody) -> str:
    """Name a chat without an id by its first user message, which stays as the history grows."""
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


def strip_service(target: str) -> str:
    """Give the path and query that a plain service sees: without the service's name."""
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
    """Answer with an error in the documented JSON form."""
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
