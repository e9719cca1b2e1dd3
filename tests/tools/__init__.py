"""Tests of the tools that build and check the product."""
