"""Decoding of JSON and MessagePack that comes from outside this process.

msgspec reports invalid data by `MsgspecError`, but raises `RecursionError` for data that is nested
more deeply than Python allows. All data from outside is decoded here, so that those who handle the
first handle the second.
"""

from __future__ import annotations

from typing import Any, Final, TypeVar, overload

import msgspec

T = TypeVar("T")

TOO_DEEP: Final = "the data is nested too deeply"


@overload
def decode_json(data: bytes | str) -> Any: ...
@overload
def decode_json(data: bytes | str, type: type[T]) -> T: ...
def decode_json(data: bytes | str, type: Any = Any) -> Any:
    """Decode JSON to a type. Raise `msgspec.MsgspecError` if the data is invalid."""
    try:
        return msgspec.json.decode(data, type=type)
    except RecursionError:
        raise msgspec.DecodeError(TOO_DEEP) from None


def decode_msgpack(data: bytes, type: type[T]) -> T:
    """Decode MessagePack to a type. Raise `msgspec.MsgspecError` if the data is invalid."""
    try:
        return msgspec.msgpack.decode(data, type=type)
    except RecursionError:
        raise msgspec.DecodeError(TOO_DEEP) from None
