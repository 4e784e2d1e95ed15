"""The entry program.

It routes requests of callers to backend servers, receives their announcements
and relays operations to control.
"""
