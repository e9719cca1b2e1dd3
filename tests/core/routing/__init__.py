"""Tests of the routing policies."""
