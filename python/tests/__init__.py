"""Tests of the operators' library."""
