"""The input and output layer of an instance, built on asyncio.

The core makes every decision and does no input or output. This package turns network activity and
timers into events for the core, and carries out the actions that the core returns.
"""

from rhubarbbend.shell._runtime import Runtime, serve

__all__ = ["Runtime", "serve"]
