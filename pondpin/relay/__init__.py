"""Relaying of opaque HTTP requests: routing, placement, streams, prompt parts and gossip."""
