"""The platform's services as an instance uses them: tables, objects and the list of instances."""

from rhubarbbend.platform import _http  # noqa: F401  (it registers itself)
from rhubarbbend.platform._base import PLATFORMS, PlatformClient, PlatformError

__all__ = ["PLATFORMS", "PlatformClient", "PlatformError"]
