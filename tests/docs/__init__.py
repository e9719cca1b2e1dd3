"""Tests of the pages: what they name exists, and what exists is on its page."""
