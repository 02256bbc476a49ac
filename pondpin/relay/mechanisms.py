"""The mechanisms of placement and recovery; a setting disables each of them for measurements."""

import enum


class Mechanism(enum.StrEnum):
    """The names that the setting `without` uses."""

    PARTS = "parts"
    LEASES = "leases"
    POOL = "pool"
    CALENDAR = "calendar"
    HOLDING = "holding"
    REFUSAL = "refusal"
    REPORTS = "reports"
    SECOND_TRIES = "second_tries"
    EJECTION = "ejection"
    FAILING_RATE = "failing_rate"
    PEER_LOADS = "peer_loads"
    UNSEEN = "unseen"
    SETTLING = "settling"
    SPILL = "spill"
    LONG_READS = "long_reads"
    SILENCE = "silence"
    QUARANTINE = "quarantine"
    EVACUATION = "evacuation"
    COLD_START = "cold_start"
    SLOT_GRANTS = "slot_grants"
    RETURN_ORDER = "return_order"
    TUNNELS = "tunnels"
