"""Paths of connections to upstreams: direct, or through a peer."""
