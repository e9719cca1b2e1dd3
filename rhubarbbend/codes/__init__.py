"""Registry of verdicts, error codes and counters.

All refusals visible to callers, all retry reasons and all counters are declared here and nowhere
else, so that docs/OPERATIONS.md and docs/INTERFACES.md can be checked against them.
"""

from rhubarbbend.codes._counters import *  # noqa: F403
from rhubarbbend.codes._errors import *  # noqa: F403
from rhubarbbend.codes._registry import ErrorCode as ErrorCode
from rhubarbbend.codes._registry import Verdict as Verdict
from rhubarbbend.codes._registry import list_counters as list_counters
from rhubarbbend.codes._registry import list_errors as list_errors
