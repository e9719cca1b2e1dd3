"""Tests of `rhubarbbend.core.delivery`."""
