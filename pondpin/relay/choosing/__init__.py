"""Which upstream takes a request, when, and how long its silence is borne."""
