"""Run the decision functions on simulated traces of demand and faults."""
