"""Tests of the programs as processes."""
