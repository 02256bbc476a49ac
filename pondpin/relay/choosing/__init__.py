"""Upstream selection, dispatch order, stall timeouts and retry budgets."""
