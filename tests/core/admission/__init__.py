"""Tests of admission control: the decisions, and simulations of instances that decide."""
