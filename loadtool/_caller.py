"""A client of the fleet that sends requests and checks the complete body of each answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import attrs
import msgspec

from rhubarbbend.http import Connection, HttpFailure, Response
from standins._prompts import Message, make_completion_words

Address = tuple[str, int]
CONNECT_TIMEOUT_S = 2.0


@attrs.define(slots=True)
class Answer:
    """The answer to a request, as the caller received it.

    `complete` is set if it was received to its end, `body_matches` if its body is the one that the
    request must get; the caller decides both by itself. `first_byte` and `total` are seconds since
    the start of the request, `chunk_gaps` the seconds between consecutive parts of the body.
    `failure` is the reason why there is no complete answer.
    """

    status: int = 0
    complete: bool = False
    body_matches: bool = False
    code: str = ""
    verdict: str = ""
    attempt: str = ""
    retry_after: float = 0.0
    ticket: str = ""
    body: bytes = b""
    replayed: bool = False
    prompt_tokens: int = 0
    cached_tokens: int = 0
    first_byte: float = 0.0
    total: float = 0.0
    chunk_gaps: list[float] = attrs.Factory(list)
    failure: str = ""

    @property
    def is_correct(self) -> bool:
        """Whether it is complete, has the body that its request must get, and has status 200."""
        return self.status == 200 and self.complete and self.body_matches

    @property
    def is_incorrect(self) -> bool:
        """Whether it is complete with status 200, but not the answer to its request."""
        return self.status == 200 and self.complete and not self.body_matches


@attrs.define(slots=True)
class Chat:
    """The state of a chat at its caller: the history of messages and the last ticket."""

    id: str
    model: str
    messages: list[Message] = attrs.Factory(list)
    ticket: str = ""
    turns: int = 0

    def add_user_message(self, text: str) -> None:
        """Append a message of the user to the history."""
        self.messages.append(Message("user", text))

    def add_answer(self, text: str, ticket: str) -> None:
        """Append an answer of the assistant to the history."""
        self.messages.append(Message("assistant", text))
        self.ticket = ticket or self.ticket
        self.turns += 1


class NoInstanceReady(RuntimeError):
    """Raised if there is no instance that a request could be sent to."""


class Caller:
    """Sends the requests of one client account to instances, round robin unless one is given."""

    def __init__(self, addresses: Callable[[], list[Address]], key: str) -> None:
        self._addresses = addresses
        self._key = key
        self._next = 0

    def select_instance(self) -> Address:
        """Return the next instance, as a round-robin load balancer does.

        Raise `NoInstanceReady` if the balancer lists none.
        """
        addresses = self._addresses()
        if not addresses:
            raise NoInstanceReady("the load balancer lists no instance as ready")
        self._next += 1
        return addresses[self._next % len(addresses)]

    async def send_chat(
        self,
        chat: Chat,
        max_tokens: int,
        stream: bool = True,
        address: Address | None = None,
        deadline: float = 30.0,
    ) -> Answer:
        """Send the history of a chat and check the answer word by word.

        A correct answer is appended to the history. `deadline` is in seconds.
        """
        body = {
            "model": chat.model,
            "messages": chat.messages,
            "stream": stream,
            "max_tokens": max_tokens,
        }
        headers = [
            ("Rhubarbbend-Chat", chat.id),
            ("Rhubarbbend-Deadline", str(deadline)),
            ("Content-Type", "application/json"),
        ]
        if chat.ticket:
            headers.append(("Rhubarbbend-Ticket", chat.ticket))
        answer = await self.send(
            "POST",
            "/v1/chat/completions",
            headers,
            msgspec.json.encode(body),
            address,
            deadline + 5.0,
        )
        if answer.status == 200 and answer.complete:
            expected = "".join(make_completion_words(chat.messages, max_tokens))
            text = _read_streamed_completion(answer) if stream else _read_json_completion(answer)
            answer.body_matches = text == expected
            if answer.body_matches:
                chat.add_answer(expected, answer.ticket)
        return answer

    async def send_command(
        self,
        path: str,
        key: str,
        body: bytes,
        address: Address | None = None,
        deadline: float = 10.0,
    ) -> Answer:
        """Send a command with an idempotency key and check that the answer is for this key.

        `deadline` is in seconds.
        """
        headers = [("Idempotency-Key", key), ("Rhubarbbend-Deadline", str(deadline))]
        answer = await self.send("POST", path, headers, body, address, deadline + 5.0)
        if answer.status == 200 and answer.complete:
            answer.body_matches = _read_json_field(answer.body, "key") == key
        return answer

    async def look_up(
        self, path: str, address: Address | None = None, deadline: float = 10.0
    ) -> Answer:
        """Send a lookup and check that the answer is for this path; `deadline` is in seconds."""
        headers = [("Rhubarbbend-Deadline", str(deadline))]
        answer = await self.send("GET", path, headers, b"", address, deadline + 5.0)
        if answer.status == 200 and answer.complete:
            expected_path = "/" + path.split("/", 2)[2]
            answer.body_matches = _read_json_field(answer.body, "path") == expected_path
        return answer

    async def reserve_keys(self, count: int, address: Address | None = None) -> list[str]:
        """Return new reserved idempotency keys.

        Raises:
            RuntimeError: The request was refused or failed.
        """
        headers = [("Rhubarbbend-Count", str(count))]
        answer = await self.send("POST", "/v1/reserved-keys", headers, b"", address, 5.0)
        if answer.status != 200:
            raise RuntimeError(
                f"reserving keys failed: expected status 200, got {answer.status} {answer.code}"
            )
        return list(msgspec.json.decode(answer.body)["keys"])

    async def send(
        self,
        method: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        address: Address | None,
        timeout: float,
    ) -> Answer:
        """Send one request on a new connection and read its answer.

        `timeout` is in seconds. A failure is recorded in the answer, not raised.
        """
        answer = Answer()
        started = time.perf_counter()
        connection: Connection | None = None
        try:
            async with asyncio.timeout(timeout):
                connection = await Connection.open(
                    address or self.select_instance(), CONNECT_TIMEOUT_S
                )
                all_headers = [("Authorization", f"Bearer {self._key}"), *headers]
                await connection.send(method, path, all_headers, body)
                response = await connection.receive_head(timeout)
                _read_head(answer, response)
                await _read_body(answer, connection, timeout, started)
        except HttpFailure as failure:
            answer.failure = str(failure)
        except TimeoutError:
            answer.failure = "timeout"
        finally:
            if connection is not None:
                connection.close()
        answer.total = time.perf_counter() - started
        if answer.status != 200 and answer.complete:
            _read_error_code(answer)
        return answer


def _read_head(answer: Answer, response: Response) -> None:
    headers = response.headers
    answer.status = response.status
    answer.ticket = headers.get("rhubarbbend-ticket", "")
    answer.verdict = headers.get("rhubarbbend-verdict", "")
    answer.attempt = headers.get("rhubarbbend-attempt", "")
    answer.replayed = headers.get("rhubarbbend-replayed", "") == "true"
    answer.retry_after = float(headers.get("retry-after", "0"))


async def _read_body(
    answer: Answer, connection: Connection, timeout: float, started: float
) -> None:
    parts: list[bytes] = []
    previous_at = 0.0
    async for part in connection.receive_body(timeout):
        now = time.perf_counter()
        if not parts:
            answer.first_byte = now - started
        else:
            answer.chunk_gaps.append(now - previous_at)
        previous_at = now
        parts.append(part)
    answer.body = b"".join(parts)
    answer.complete = True


def _read_streamed_completion(answer: Answer) -> str:
    """Return the text of a streamed answer; it is complete only with the end marker."""
    words: list[str] = []
    has_end_marker = False
    for line in answer.body.decode().split("\n\n"):
        data = line.removeprefix("data: ")
        if not data:
            continue
        if data == "[DONE]":
            has_end_marker = True
            continue
        chunk = msgspec.json.decode(data)
        words.append(chunk["choices"][0]["delta"].get("content", ""))
        if chunk.get("usage"):
            _read_usage(answer, chunk["usage"])
    answer.complete = has_end_marker
    return "".join(words)


def _read_json_completion(answer: Answer) -> str:
    body = msgspec.json.decode(answer.body)
    _read_usage(answer, body["usage"])
    return str(body["choices"][0]["message"]["content"])


def _read_usage(answer: Answer, usage: dict[str, object]) -> None:
    answer.prompt_tokens = int(str(usage["prompt_tokens"]))
    details = usage["prompt_tokens_details"]
    assert isinstance(details, dict)
    answer.cached_tokens = int(details["cached_tokens"])


def _read_json_field(body: bytes, name: str) -> object:
    try:
        found: object = msgspec.json.decode(body).get(name)
    except (msgspec.MsgspecError, AttributeError):
        return None
    return found


def _read_error_code(answer: Answer) -> None:
    try:
        error = msgspec.json.decode(answer.body)["error"]
        answer.code = error["code"]
    except (msgspec.MsgspecError, KeyError, TypeError):
        answer.code = "(unreadable)"
