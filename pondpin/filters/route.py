"""Dispatches a call to the filter for its kind."""

from pondpin.calls import Call, CallKind, Filter, Outcome, Proceed


class RouteFilter:
    """Dispatches completions to engines, and other calls to services."""

    def __init__(self, complete: Filter, serve: Filter) -> None:
        self._complete = complete
        self._serve = serve

    async def apply(self, call: Call, proceed: Proceed) -> Outcome:
        """See Filter."""
        selected = self._serve if call.kind is CallKind.SERVICE else self._complete
        return await selected.apply(call, proceed)
