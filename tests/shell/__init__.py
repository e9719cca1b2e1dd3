"""Tests of the shell."""
