"""Replicated log: storage, agreement and membership."""
