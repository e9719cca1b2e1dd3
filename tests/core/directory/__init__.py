"""Tests of `rhubarbbend.core.directory`."""
