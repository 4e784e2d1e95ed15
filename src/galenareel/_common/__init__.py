"""Parts that every program of the system uses."""
