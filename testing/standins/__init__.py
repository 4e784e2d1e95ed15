"""Stand-ins for the users' platform, workers, backend servers and callers.

The checker of their records is here too.
"""
