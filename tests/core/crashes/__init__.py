"""Tests of `rhubarbbend.core.crashes`."""
