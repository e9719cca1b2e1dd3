"""Which instances there are, what they tell one another of load, and whose turn it is to read.

`_members` is the duty; the others are its parts. Nothing is imported here, because duties of
different folders know one another's types.
"""
