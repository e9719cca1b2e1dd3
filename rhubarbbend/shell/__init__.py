"""The shell: carries out the core's actions with asyncio and turns what happens into events."""

from rhubarbbend.shell._runtime import Runtime, serve

__all__ = ["Runtime", "serve"]
