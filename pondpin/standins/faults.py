"""Faults that a stand-in shows on command."""

import msgspec


class Faults(msgspec.Struct, kw_only=True):
    """What is wrong with a stand-in just now.

    slow multiplies step times; drop_before and drop_after cut that many next calls
    before or after they run; dead refuses everything; frozen holds everything back. says_leaving:
    answers say that it leaves, its report does not; rest: all requests are turned away, and asked
    to stay away for so many seconds, as text; limit: the requests a second that it takes from all
    instances, as text.
    """

    dead: bool = False
    frozen: bool = False
    slow: float = 1.0
    duplicate_frames: bool = False
    reorder_frames: bool = False
    drop_before: int = 0
    drop_after: int = 0
    delay_seconds: float = 0.0
    down: bool = False
    stale: bool = False
    says_leaving: bool = False
    rest: str = ""
    limit: str = ""

    def limit_header(self) -> dict[str, str]:
        """What each answer says of the limit."""
        return {"pondpin-upstream-limit": self.limit} if self.limit else {}
