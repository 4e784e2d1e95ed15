"""The entry program: callers, announcements and routing."""
