"""Tests of crowds of clients that do not behave: what they cost an instance.

Each starts an instance's real process with low limits. They check nothing that depends on the speed
of the machine, and run one at a time, apart from the other tests.
"""
