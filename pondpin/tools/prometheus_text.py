"""Reads the metrics of instances and merges them, histograms bucket by bucket without loss."""

import re
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

# The instances' own names and the process's are dropped when samples are merged.
MERGED_LABELS = frozenset({"instance", "data_center"})
LINE = re.compile(r"^([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\{(.*)\})? ([^ ]+)$")
LABEL = re.compile(r'([a-zA-Z_][a-zA-Z0-9_]*)="((?:[^"\\]|\\.)*)"')

LabelSet = tuple[tuple[str, str], ...]


@dataclass
class Samples:
    """Sums of samples by metric name and labels."""

    by_name: dict[str, dict[LabelSet, float]] = field(
        default_factory=lambda: defaultdict(lambda: defaultdict(float))
    )

    def total(self, name: str, **wanted: str) -> float:
        """The sum of a metric over all label sets that carry the wanted labels."""
        needed = set(wanted.items())
        return sum(value for labels, value in self.by_name[name].items() if needed <= set(labels))

    def minus(self, earlier: "Samples") -> "Samples":
        """What was added since an earlier time; a counter that went back began anew."""
        result = Samples()
        for name, values in self.by_name.items():
            for labels, value in values.items():
                before = earlier.by_name[name].get(labels, 0.0)
                result.by_name[name][labels] = value - before if value >= before else value
        return result


def merge_texts(texts: Iterable[str]) -> Samples:
    """Merge the texts of several instances."""
    samples = Samples()
    for text in texts:
        for line in text.splitlines():
            found = LINE.match(line) if not line.startswith("#") else None
            if found is None:
                continue
            name, labels_text, value = found.groups()
            labels = tuple(
                sorted(
                    (key, content)
                    for key, content in LABEL.findall(labels_text or "")
                    if key not in MERGED_LABELS
                )
            )
            samples.by_name[name][labels] += float(value)
    return samples


def share_within(
    samples: Samples, histogram: str, bound: float, **wanted: str
) -> tuple[float, float]:
    """How many observations are at most the bound, and how many there are.

    The bound is taken down to a bucket's edge, so that the share is never overstated.
    """
    needed = set(wanted.items())
    best_edge = -1.0
    within = 0.0
    counts: dict[float, float] = defaultdict(float)
    for labels, value in samples.by_name[f"{histogram}_bucket"].items():
        plain = dict(labels)
        edge = float(plain.pop("le", "inf").replace("+Inf", "inf"))
        if needed <= set(plain.items()):
            counts[edge] += value
    for edge, count in counts.items():
        if best_edge < edge <= bound:
            best_edge, within = edge, count
    total = counts.get(float("inf"), 0.0)
    return within, total
