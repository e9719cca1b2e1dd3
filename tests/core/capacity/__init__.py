"""Tests of `rhubarbbend.core.capacity`."""
