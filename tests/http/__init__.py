"""Tests of HTTP on both sides."""
