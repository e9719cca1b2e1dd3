"""Membership of the fleet, exchange of load figures, and scheduling of shared platform polls.

`_members` holds the component of the core (a `Component`, see `rhubarbbend.core._context`); the
other modules hold its parts. Nothing is imported here, because components of different folders
import one another's types, and imports here would be circular.
"""
