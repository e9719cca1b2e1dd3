"""Tests of `rhubarbbend.core.requests`."""
