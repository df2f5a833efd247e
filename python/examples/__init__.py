"""Example configurations of the two users."""
