"""Demonstration of the whole path with real processes."""
