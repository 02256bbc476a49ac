"""Errors that carry a numbered result code."""

from pondpin.codes import INFO_BY_CODE, Code, Ran


class PondpinError(Exception):
    """A refusal or failure with its result code, whether the call ran, and when to retry.

    retry_after is in seconds; None means that a retry will not help. covers_earlier_attempts: ran
    also holds for earlier attempts of the same call, as its token's issuer reported.
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
    """A peer did not respond; it may have processed the request."""


class FieldError(ValueError):
    """One fault in a settings or configuration file, with its path there."""

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class InvalidFileError(ExceptionGroup[FieldError]):
    """All faults of one file at once."""

    def numbered(self) -> str:
        """The faults as a numbered list with one per line."""
        return "\n".join(f"{i}. {fault}" for i, fault in enumerate(self.exceptions, 1))


def raise_faults(source: str, faults: list[FieldError]) -> None:
    """Raise InvalidFileError if there are any faults."""
    if faults:
        raise InvalidFileError(f"{source} has {len(faults)} fault(s)", faults)
