"""Tests of the gateway: its parts alone, then real processes before stand-ins."""
