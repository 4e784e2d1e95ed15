"""State machine of control: tables, commands and view deltas."""
