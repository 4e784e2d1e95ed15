"""Stand-ins for backend servers, the platform, callers and a checker."""
