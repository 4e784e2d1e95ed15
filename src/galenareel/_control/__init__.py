"""The control process of an environment."""
