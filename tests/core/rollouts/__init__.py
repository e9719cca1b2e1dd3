"""Tests of `rhubarbbend.core.rollouts`."""
