"""A caller's request from its arrival to its final answer: admission, slots, attempts, answers.

`_entry` is the duty; the others are its parts. Nothing is imported here, because duties of
different folders know one another's types.
"""
