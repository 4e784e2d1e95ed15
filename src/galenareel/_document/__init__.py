"""The environment document: models and reading."""
