"""Decisions over tables, without input or output."""
