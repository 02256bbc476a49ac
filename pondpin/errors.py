"""Errors that carry a numbered result code."""

from pondpin.codes import INFO_BY_CODE, Code, Ran


class PondpinError(Exception):
    """A refusal or failure with its result code, whether the call ran, and when to retry.

    retry_after is in seconds; None means that a later try will not help. settled means that
    ran also speaks for earlier tries of the same call: its token's issuer said so.
    """

    def __init__(
        self,
        code: Code,
        detail: str = "",
        ran: Ran = Ran.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(f"{code.value} {code.name}: {detail or INFO_BY_CODE[code].meaning}")
        self.code = code
        self.detail = detail
        self.ran = ran
        self.retry_after = retry_after
        self.covers_earlier_attempts = False

    @property
    def status(self) -> int:
        """HTTP status of the code."""
        return INFO_BY_CODE[self.code].status


class PeerUnreachableError(Exception):
    """A peer gave no answer; whether it acted is not known."""


class FieldError(ValueError):
    """One fault of a settings or configuration file, with its path in the file."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class InvalidFileError(ExceptionGroup[FieldError]):
    """All faults of one file at once."""

    def numbered(self) -> str:
        """The faults as a numbered list, one a line."""
        return "\n".join(f"{i}. {fault}" for i, fault in enumerate(self.exceptions, 1))


def raise_faults(source: str, faults: list[FieldError]) -> None:
    """Raise InvalidFileError when there is any fault."""
    if faults:
        raise InvalidFileError(f"{source} has {len(faults)} fault(s)", faults)
