"""Tests of `rhubarbbend.core.catalog`."""
