"""Tests of `rhubarbbend.core.accepted`."""
