"""Holds the declared error codes and counters."""

from __future__ import annotations

import enum

import msgspec


class Verdict(enum.Enum):
    """Whether the work named by a request's idempotency key has run.

    NOT_RUN is returned only if no attempt made so far under the key has started or ever will. RAN
    is returned with the complete answer. All uncertain cases are MAY_HAVE_RUN.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


class ErrorCode(msgspec.Struct, frozen=True):
    """A refusal or failure reported to the caller.

    `status` is the HTTP status. `retry_after` is in seconds; 0 if the caller should not retry.
    """

    name: str
    status: int
    message: str
    retry_after: float = 0.0


_ERRORS: dict[str, ErrorCode] = {}
_COUNTERS: dict[str, str] = {}


def declare_error(name: str, status: int, message: str, retry_after: float = 0.0) -> ErrorCode:
    """Declare an error code and the counter of the requests that are answered with it."""
    code = ErrorCode(name, status, message, retry_after)
    _ERRORS[name] = code
    declare_counter(f"refused.{name}", f"requests answered with {name}: {message}")
    return code


def declare_counter(name: str, meaning: str) -> str:
    """Declare a counter and return its name."""
    _COUNTERS[name] = meaning
    return name


def list_errors() -> list[ErrorCode]:
    """Return all declared error codes."""
    return list(_ERRORS.values())


def list_counters() -> dict[str, str]:
    """Return the meaning of each declared counter by counter name."""
    return dict(_COUNTERS)


def get_error(name: str) -> ErrorCode | None:
    """Return the error code declared under a name, None if there is none."""
    return _ERRORS.get(name)
