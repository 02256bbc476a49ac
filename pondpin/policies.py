"""Policies of engine choice and admission, by their names in files."""

import enum


class PlacementPolicy(enum.StrEnum):
    """How an engine is chosen; all but PREDICTED are baselines."""

    RANDOM = "random"
    ROUND_ROBIN = "round_robin"
    LEAST_OUTSTANDING = "least_outstanding"
    PREDICTED = "predicted"


class AdmissionPolicy(enum.StrEnum):
    """Whether a request that cannot finish in its allowed time is refused at once."""

    NONE = "none"
    DEADLINE = "deadline"
