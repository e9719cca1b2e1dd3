"""Limits of client accounts: plug-ins that say whether an account may open one more request.

Each instance keeps its own counts, so a limit holds for each instance and not for the fleet: an
account that goes to n instances may have n times as much. The bound on a target's load does not
rest on them; they keep one account from filling the memory and the queues of an instance.
"""

from rhubarbbend.core.limits import _in_flight
from rhubarbbend.core.limits._base import LIMITS, AccountLimit

__all__ = ["LIMITS", "AccountLimit"]

# Loading the module registers the plug-in.
_ = _in_flight
