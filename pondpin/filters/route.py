"""Sends a call to the filter that serves its kind."""

from pondpin.calls import Call, CallKind, Filter, Outcome, Proceed


class RouteFilter:
    """Completions go to engines, all else to plain services."""

    def __init__(self, complete: Filter, serve: Filter) -> None:
        self._complete = complete
        self._serve = serve

    async def apply(self, call: Call, proceed: Proceed) -> Outcome:
        """See Filter."""
        chosen = self._serve if call.kind is CallKind.SERVICE else self._complete
        return await chosen.apply(call, proceed)
