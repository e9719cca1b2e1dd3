"""Tests of `rhubarbbend.core.mirror`."""
