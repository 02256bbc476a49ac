"""Serving a request: admission, attempts, retries, the final response."""
