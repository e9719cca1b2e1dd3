"""Tests of `rhubarbbend.core.shares`."""
