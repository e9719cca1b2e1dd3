"""Tests of `rhubarbbend.core.routing`."""
