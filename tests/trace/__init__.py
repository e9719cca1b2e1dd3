"""Tests of recording and replaying traces."""
