"""Models of the environment document, and their creation from YAML."""
