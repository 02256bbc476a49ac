"""Finds the length class, rule and deadline of a call."""

from dataclasses import replace

from pondpin.calls import Call, Outcome, Proceed
from pondpin.codes import Code
from pondpin.configuration import Configuration, LengthClass, Rule
from pondpin.errors import PondpinError
from pondpin.filters.request_parsing import ALLOWED_SECONDS_HEADER, parse_allowed_seconds
from pondpin.selectors import Labels, parse_selector


def find_length_class(configuration: Configuration, labels: Labels) -> LengthClass | None:
    """The first length class whose selector matches."""
    for item in configuration.classes:
        if parse_selector(item.match).matches(labels):
            return item
    return None


def find_rule(configuration: Configuration, labels: Labels) -> Rule | None:
    """The first rule whose selector matches."""
    for rule in configuration.rules:
        if parse_selector(rule.match).matches(labels):
            return rule
    return None


class RuleFilter:
    """Rejects calls that no rule matches."""

    async def apply(self, call: Call, proceed: Proceed) -> Outcome:
        """See Filter."""
        configuration = call.snapshot.configuration
        matched_class = find_length_class(configuration, call.labels)
        length_class = matched_class.name if matched_class is not None else "none"
        labels = call.labels | {"class": length_class}
        call.decision.length_class = length_class
        rule = find_rule(configuration, labels)
        if rule is None:
            raise PondpinError(Code.NO_RULE)
        call.decision.rule = rule.name
        requested = parse_allowed_seconds(call.incoming.headers.get(ALLOWED_SECONDS_HEADER))
        allowed = (
            rule.allowed_seconds if requested is None else min(requested, rule.allowed_seconds)
        )
        call.decision.allowed = allowed
        return await proceed(
            replace(
                call,
                labels=labels,
                length_class=length_class,
                long=matched_class is not None and matched_class.long,
                rule=rule,
                deadline=call.arrived + allowed,
            )
        )
