"""Tests of who reads the store."""
