"""Tests; each module mirrors the one that it tests."""
