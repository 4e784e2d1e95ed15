"""Tests of galenareel._document."""
