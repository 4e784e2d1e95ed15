"""Tests of galenareel._common."""
