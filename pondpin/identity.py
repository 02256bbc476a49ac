"""Who an entry instance is."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Identity:
    """An instance's name, the number of its present life, and its data centre."""

    instance: str
    incarnation: int
    data_center: str
