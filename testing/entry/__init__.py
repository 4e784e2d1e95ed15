"""Tests of galenareel._entry."""
