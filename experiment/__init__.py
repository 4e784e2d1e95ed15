"""Drives the decision functions with traces of demand and faults."""
