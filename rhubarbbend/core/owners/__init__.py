"""Owners of targets: who grants slots, from which limit, and in which order.

`_owner` is the duty; the others are its parts. Nothing is imported here, because duties of
different folders know one another's types.
"""
