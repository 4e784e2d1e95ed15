"""Errors of the replicated log."""

from __future__ import annotations


class StorageError(Exception):
    """The data folder cannot be used; the message names the remedy."""


class FolderInUseError(StorageError):
    """Another process has locked the data folder."""


class DiskError(StorageError):
    """A write or sync failed; neither it nor later writes are durable."""
