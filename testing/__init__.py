"""Tests; the folders follow the packages of the sources."""
