"""Paths that the platform requests."""

READY_PATH = "/v1/readyz"
