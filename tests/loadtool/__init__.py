"""Tests of the measuring tool."""
