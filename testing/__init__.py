"""Tests; the folders mirror the packages."""
