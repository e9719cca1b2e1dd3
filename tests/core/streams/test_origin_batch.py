"""The streams of the last seconds, and how often they are written."""

from __future__ import annotations

from rhubarbbend.core.streams import (
    USUAL_STREAM_AGE_S,
    OriginBatch,
    StreamOrigin,
    compute_write_interval,
    have_several,
)


# Guards against a row that grows without end, and against writes without anything new.
def test_only_recent_streams_are_listed() -> None:
    batch = OriginBatch()
    old, new = StreamOrigin(1, 7), StreamOrigin(2, 7)
    batch.record(old, 10.0)
    batch.record(new, 20.0)
    assert batch.has_new
    assert batch.list_recent(10.0 + USUAL_STREAM_AGE_S) == [old, new] and not batch.has_new
    assert batch.list_recent(10.1 + USUAL_STREAM_AGE_S) == [new]
    batch.forget({new.stream})
    assert batch.has_new and batch.list_recent(20.0) == []


def test_large_fleets_write_less_often() -> None:
    assert [compute_write_interval(count) for count in (8, 50, 67, 400)] == [0.5, 0.5, 0.67, 4.0]


def test_services_are_looked_at_one_by_one() -> None:
    assert not have_several([["v1"], ["v2"], []]) and have_several([["v1"], ["v1", "v2"]])
