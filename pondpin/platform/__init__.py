"""The users' platform: translates its names and forms; no decision, timer or state."""
