"""Tests of `rhubarbbend.core.owners`."""
