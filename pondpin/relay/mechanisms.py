"""The mechanisms of placement and recovery, each of which can be switched off to be measured."""

import enum


class Mechanism(enum.StrEnum):
    """A mechanism by the name that the setting `without` uses."""

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
