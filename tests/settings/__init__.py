"""Tests of the settings."""
