"""Tests of the limits of client accounts."""
