"""What instances tell each other."""
