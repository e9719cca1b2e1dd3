"""Tests of the operators' calls."""
