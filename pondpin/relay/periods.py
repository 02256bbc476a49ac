"""The common period of an instance's controllers."""

# All controllers wake up together, at this period or a multiple of it. Two digests fit between a
# placement that needs peers' loads and the end of a usual engine pass.
PERIOD_SECONDS = 0.2
