"""Ownership of targets: who grants request slots, up to which limit and in which order.

`_owner` holds the component that the core registers; the other modules are its parts. Nothing is
imported here, because components of different folders import one another's types.
"""
