"""A request on its way: admission, attempts, the final answer."""
