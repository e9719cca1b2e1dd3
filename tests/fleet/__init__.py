"""Tests that run real processes behind fault-injecting proxies."""
