"""Tests of the decoding of data from outside: it yields a value or one type of error."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any, Final

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from adapter import PlatformStateDecoder
from rhubarbbend.core.mirror import RowChange
from rhubarbbend.decoding import decode_json, decode_msgpack

DEPTH: Final = 4_000
ROOT: Final = Path(__file__).resolve().parent.parent
NESTED_JSON: Final = {
    "an array without end": b'{"x":' + b"[" * DEPTH,
    "a closed array": b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    "objects": b'{"x":' * DEPTH + b"1" + b"}" * DEPTH,
    "the whole value": b"[" * DEPTH + b"]" * DEPTH,
}
ROWS: Final = [("op", "config"), ("op", "rollout/llm"), ("servers", "i-1")]


# Guards against an error that the callers do not handle, for data that is nested too deeply: it
# ended the task that followed the registrations of targets (review/2).
@pytest.mark.parametrize("data", NESTED_JSON.values(), ids=NESTED_JSON)
@pytest.mark.parametrize("type_", [Any, dict[str, Any]])
def test_nested_json_is_invalid_data(data: bytes, type_: Any) -> None:
    with pytest.raises(msgspec.MsgspecError):
        decode_json(data, type=type_)


# Guards against the same error in messages between instances.
@pytest.mark.parametrize("data", [b"\x91" * DEPTH + b"\xc0", b"\x81\xa1x" * DEPTH + b"\xc0"])
def test_nested_msgpack_is_invalid_data(data: bytes) -> None:
    with pytest.raises(msgspec.MsgspecError):
        decode_msgpack(data, type=Any)


# Guards against a row of another writer that ends the following of its table.
@pytest.mark.parametrize(("table", "key"), ROWS)
@pytest.mark.parametrize("data", NESTED_JSON.values(), ids=NESTED_JSON)
def test_nested_rows_are_reported_as_unreadable(table: str, key: str, data: bytes) -> None:
    changes = PlatformStateDecoder().decode(table, [RowChange(key, data)])
    assert type(changes[0]).__name__ == "RowUnreadable"


# Guards against rows of another writer that raise errors of any other type.
@given(
    value=st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(),
        lambda children: st.lists(children) | st.dictionaries(st.text(), children),
    )
    | st.fixed_dictionaries(
        {
            "service": st.text(),
            "address": st.text() | st.from_regex(r"\A[a-z.]{0,9}:[0-9]{0,9}\Z"),
            "zone": st.text(),
            "slots": st.integers(),
            "state": st.sampled_from(["ready", "draining", "gone"]),
            "coldLeftMs": st.floats(allow_nan=False, allow_infinity=False),
            "born": st.integers(),
        }
    ),
    cut=st.integers(0, 200),
)
def test_rows_of_any_form_are_decoded_or_reported(value: Any, cut: int) -> None:
    data = msgspec.json.encode(value)
    for table, key in ROWS:
        for row in (data, data[:cut]):
            assert PlatformStateDecoder().decode(table, [RowChange(key, row)]) is not None


# Guards against a new place that decodes data from outside without handling such errors.
def test_data_is_decoded_in_one_module() -> None:
    direct = re.compile(r"msgspec\.(json|msgpack)\.decode\(")
    found = [
        str(path.relative_to(ROOT))
        for folder in ("rhubarbbend", "platform")
        for path in sorted((ROOT / folder).rglob("*.py"))
        if direct.search(path.read_text("utf-8"))
    ]
    assert found == ["rhubarbbend/decoding.py"]
