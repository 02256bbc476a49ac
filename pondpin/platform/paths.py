"""Paths that the platform calls."""

READY_PATH = "/v1/readyz"
