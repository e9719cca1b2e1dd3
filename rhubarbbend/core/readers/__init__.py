"""Readers: the instances that read the platform's store for others, and the updates they relay.

A change of the store's tables completes every call that waits for one. If each instance waited at
the store itself, one change would cost as many calls as there are instances. So in a large zone, or
in a group of small ones, some instances read the store and the others wait at one of those. There
are no grants or elections: each instance computes the readers from the list of instances, and reads
the store itself as soon as the data from its reader is too old. Computing the wrong readers costs
calls but never loses a change.
"""

from rhubarbbend.core.readers._leases import RENEW_INTERVAL_S, InstanceLeaseTracker
from rhubarbbend.core.readers._peer_updates import PeerUpdateLog, PeerUpdatePage
from rhubarbbend.core.readers._selection import InstanceRow, ReaderSelector, list_zone_readers

__all__ = [
    "RENEW_INTERVAL_S",
    "InstanceLeaseTracker",
    "InstanceRow",
    "PeerUpdateLog",
    "PeerUpdatePage",
    "ReaderSelector",
    "list_zone_readers",
]
