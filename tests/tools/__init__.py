"""Tests of what builds and checks the product."""
