"""The accepted configuration: replication, proposals of changes, validation and snapshots.

Each module except `_validation` holds one component of the core (a `Component`, see
`rhubarbbend.core._context`). Nothing is imported here, because components of different folders
import one another's types, and imports here would be circular.
"""
