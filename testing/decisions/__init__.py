"""Tests of the decision functions."""
