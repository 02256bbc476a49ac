"""Controllers: tasks that keep state current outside the request path."""
