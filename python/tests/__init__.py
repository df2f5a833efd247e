"""Tests of the configuration library."""
