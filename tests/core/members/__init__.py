"""Tests of `rhubarbbend.core.members`."""
