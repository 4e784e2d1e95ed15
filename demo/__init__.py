"""Demonstrate the whole request path with real processes."""
