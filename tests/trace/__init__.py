"""Tests of record and replay."""
