"""Streams that callers take up again: which version of a service began each, and who knows it.

What two versions write does not fit together, so a stream goes on only at the version that began
it. The instance that passes on its first event tells a few others, its keepers, which every
instance computes from the id of the caller's attempt; whoever gets the resumption asks them. Of a
stream that none of them knows, the store tells whether one version alone can have begun it. While
several versions serve, it also keeps which of them began each stream of the last seconds.
"""

from rhubarbbend.core.streams._keepers import list_keepers, select_told
from rhubarbbend.core.streams._ledger import (
    USUAL_STREAM_AGE_S,
    StreamLedger,
    compute_origin,
    make_stream_key,
)
from rhubarbbend.core.streams._origin_batch import (
    OriginBatch,
    StreamOrigin,
    compute_read_interval,
    compute_write_interval,
    have_several,
)
from rhubarbbend.core.streams._version_history import (
    STREAM_RETENTION_S,
    UNKNOWN_VERSION,
    VersionHistory,
    VersionRecord,
    extend_record,
    reduce_record,
)

__all__ = [
    "STREAM_RETENTION_S",
    "UNKNOWN_VERSION",
    "USUAL_STREAM_AGE_S",
    "OriginBatch",
    "StreamLedger",
    "StreamOrigin",
    "VersionHistory",
    "VersionRecord",
    "compute_origin",
    "compute_read_interval",
    "compute_write_interval",
    "extend_record",
    "have_several",
    "list_keepers",
    "make_stream_key",
    "reduce_record",
    "select_told",
]
