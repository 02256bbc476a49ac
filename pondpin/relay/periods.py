"""How often an instance does what it does at intervals."""

# The steps of all controllers come together, this often or at multiples of it. Two digests fit
# between a choice that needs peers' loads and the end of a usual pass.
PERIOD_SECONDS = 0.2
