"""Decisions about tasks on workers: no I/O, the time is an argument."""
