"""Paths that the platform calls, and the environment's name for the settings file."""

READY_PATH = "/v1/readyz"
SETTINGS_VARIABLE = "PONDPIN_BOOT"
