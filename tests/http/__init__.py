"""Tests of the HTTP sides."""
