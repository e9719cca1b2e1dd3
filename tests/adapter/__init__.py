"""Tests of the adapter to the platform."""
