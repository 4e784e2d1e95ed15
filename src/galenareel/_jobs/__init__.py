"""Durable job state, scheduling and worker leases."""
