"""Handling of a caller's request, from admission to the final response.

`_coordinator` holds the public class, `RequestCoordinator`; the other modules hold its parts:
slots, attempts and responses. This package imports nothing, because the modules of
`rhubarbbend.core` import types from each other across folders and an import here would make a
cycle.
"""
