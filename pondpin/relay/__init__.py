"""Relaying of opaque HTTP requests: routes, keys, upstreams, streams and parts of prompts."""
