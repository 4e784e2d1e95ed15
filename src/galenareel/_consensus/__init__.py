"""Replicates a log with Raft: consensus, storage and membership."""
