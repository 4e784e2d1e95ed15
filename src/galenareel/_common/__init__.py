"""Building blocks shared by all programs of the system."""
