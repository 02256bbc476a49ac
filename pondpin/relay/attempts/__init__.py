"""Serving a request: admission, attempts, the final response."""
