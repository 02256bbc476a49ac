"""What is published, read from its source or from a peer: configuration and list of upstreams."""
