"""Tests of the protocol between instances and of their connections."""
