"""A router fleet between callers and back ends, which are model engines and plain services.

It routes the requests of a chat to the target that still has the chat's context in its cache.
"""

from typing import Final

VERSION: Final = "0.1.0"
