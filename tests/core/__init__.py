"""Tests of the core; they pass events to it directly, without sockets or a shell."""
