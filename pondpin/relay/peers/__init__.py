"""State exchange between instances."""
