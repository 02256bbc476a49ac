"""Stand-ins for the systems around pondpin, used by the demo, tests and experiments."""
