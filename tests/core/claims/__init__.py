"""Tests of `rhubarbbend.core.claims`."""
