"""Tests of the decision systems."""
