"""Tests of `rhubarbbend.core.limits`."""
