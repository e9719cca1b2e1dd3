"""The accepted configuration: following it, proposing a change, checking one, snapshots of it.

Each module but `_validation` is a duty. Nothing is imported here, because duties of different
folders know one another's types.
"""
