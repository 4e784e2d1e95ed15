"""Measurements of the project, and its fault matrix."""
