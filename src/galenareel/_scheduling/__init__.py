"""Scheduling decisions as pure functions: no I/O, time is an argument."""
