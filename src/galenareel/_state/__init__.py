"""Replicated state: tables, commands and view deltas."""
