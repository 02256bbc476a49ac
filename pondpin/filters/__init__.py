"""The filter chain: each module is one step on the way of a request."""
