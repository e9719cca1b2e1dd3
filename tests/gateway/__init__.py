"""Tests of the gateway: of single parts, and of real processes against stand-ins."""
