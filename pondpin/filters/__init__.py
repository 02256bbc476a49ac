"""The filter chain: each module is one step of request processing."""
