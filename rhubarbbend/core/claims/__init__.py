"""At-most-once execution of commands by idempotency key: claim rows and reserved keys.

A command is a request for an operation that is not idempotent. Its caller names it by an
idempotency key. An instance claims the key with a conditional insert into a table of the platform
before it dispatches the command; a reserved key needs no table, because only its issuer runs it.

`_claim_coordinator` coordinates the claims and `_reserved_commands` the reserved keys; the other
modules are their parts. Nothing is imported here: this package and `rhubarbbend.core.requests` use
each other's types, and imports here would be circular.
"""
