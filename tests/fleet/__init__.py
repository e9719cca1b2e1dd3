"""Tests with real processes behind fault-injecting proxies."""
