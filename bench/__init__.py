"""Measurements of the project."""
