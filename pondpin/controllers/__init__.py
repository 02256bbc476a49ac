"""Controllers: tasks that keep state current beside the way of requests."""
