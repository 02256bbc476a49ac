"""The published configuration and upstream list, read from the source or from peers."""
