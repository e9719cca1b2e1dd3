"""Tests; the folders mirror the package, and whole fleets are under `fleet`."""
