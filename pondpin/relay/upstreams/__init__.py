"""State of upstreams in an instance: lives, work, loads, reports and leases."""
