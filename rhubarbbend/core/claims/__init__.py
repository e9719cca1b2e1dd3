"""At most one run of a command under its key: claims in the store's table, and reserved keys.

`_claims` is the duty; the others are its parts. Nothing is imported here, because duties of
different folders know one another's types.
"""
