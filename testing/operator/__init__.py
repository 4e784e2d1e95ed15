"""Tests of galenareel._operator."""
