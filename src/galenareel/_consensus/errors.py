"""Errors of the replicated log."""

from __future__ import annotations


class StorageError(Exception):
    """The data folder can't be used; the text says what to do."""


class DiskError(StorageError):
    """A write or sync failed; nothing after it counts as stored."""
