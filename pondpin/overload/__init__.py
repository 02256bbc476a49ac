"""Admission control of an upstream's slots under scarcity, apart from the network."""
