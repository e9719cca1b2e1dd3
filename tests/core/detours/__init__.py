"""Tests of `rhubarbbend.core.placement`."""
