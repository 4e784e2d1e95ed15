"""Experiment that drives the decisions with demand traces."""
