"""A worked example for each of the two users."""
