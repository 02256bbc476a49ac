"""Good and total events of each objective, from merged metrics; and Prometheus alert rules."""

from typing import Any

from pondpin.burn import RULES
from pondpin.configuration import Objective
from pondpin.tools.prometheus_text import Samples, share_within

TTFT = "pondpin_time_to_first_token_seconds"
REQUESTS = "pondpin_requests_total"
IN_TIME = "pondpin_requests_in_time_total"
NOT_RUN = "not run"
UNKNOWN = "outcome unknown"


def count_events(objective: Objective, samples: Samples) -> tuple[float, float]:
    """Good and total events of an objective so far."""
    wanted = {"class": objective.length_class} if objective.length_class else {}
    match objective.measure:
        case "ttft":
            return share_within(samples, TTFT, objective.threshold_seconds, **wanted)
        case "in_time":
            total = samples.total(IN_TIME, **wanted)
            return samples.total(IN_TIME, in_time="yes", **wanted), total
        case "refused":
            total = samples.total(REQUESTS, **wanted)
            refused = samples.total(REQUESTS, ran=NOT_RUN, **wanted)
            return total - refused, total
        case _:
            total = samples.total(REQUESTS, **wanted)
            return total - samples.total(REQUESTS, ran=UNKNOWN, **wanted), total


def error_ratio(objective: Objective, window: str) -> str:
    """The share of bad events over a window, in Prometheus' query language."""
    labels = [f'class="{objective.length_class}"'] if objective.length_class else []

    def rate(metric: str, *more: str) -> str:
        chosen = ",".join([*labels, *more])
        return f"sum(rate({metric}{{{chosen}}}[{window}]))"

    match objective.measure:
        case "ttft":
            edge = f'le="{objective.threshold_seconds}"'
            return f"1 - {rate(TTFT + '_bucket', edge)} / {rate(TTFT + '_count')}"
        case "in_time":
            return f"{rate(IN_TIME, 'in_time=' + chr(34) + 'no' + chr(34))} / {rate(IN_TIME)}"
        case measure:
            ran = NOT_RUN if measure == "refused" else UNKNOWN
            return f"{rate(REQUESTS, f'ran={chr(34)}{ran}{chr(34)}')} / {rate(REQUESTS)}"


def show_window(seconds: float) -> str:
    """A window as Prometheus writes it."""
    minutes = int(seconds // 60)
    return f"{minutes // 60}h" if minutes % 60 == 0 else f"{minutes}m"


def alert_rules(objectives: tuple[Objective, ...]) -> dict[str, Any]:
    """Alert rules in the usual Prometheus form, two windows for each."""
    rules = []
    for objective in objectives:
        for long_window, short_window, limit in RULES:
            bound = f"{limit * (1 - objective.target):.6g}"
            parts = [
                f"({error_ratio(objective, show_window(window))}) > {bound}"
                for window in (long_window, short_window)
            ]
            rules.append(
                {
                    "alert": f"PondpinBurn_{objective.name}_{show_window(long_window)}",
                    "expr": " and ".join(parts),
                    "labels": {"severity": "ticket" if limit <= 1 else "page"},
                    "annotations": {
                        "summary": f"objective {objective.name} burns {limit} times too fast"
                    },
                }
            )
    return {"groups": [{"name": "pondpin-objectives", "rules": rules}]}
