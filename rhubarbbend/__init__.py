"""A router fleet that sends returning chats to the target that still holds their context."""

from typing import Final

VERSION: Final = "0.1.0"
