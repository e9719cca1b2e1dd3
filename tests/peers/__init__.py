"""Tests of the connections between instances."""
