"""The upstreams as an instance knows them: lives, work, loads, reports, leases."""
