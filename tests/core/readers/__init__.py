"""Tests of `rhubarbbend.core.readers`."""
