"""Tests of the core, driven by events alone."""
