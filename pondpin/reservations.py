"""Reserves the members of a group, all or nothing, and releases them again."""

from collections.abc import Sequence
from dataclasses import dataclass

from pondpin.clocks import Clock, WallClock
from pondpin.engine_client import EnginePort
from pondpin.engine_protocol import ReservationRequest
from pondpin.http_streams import CallFailedError
from pondpin.identity import Identity


@dataclass(frozen=True, slots=True)
class Member:
    """An engine of a group, and the blocks that it keeps."""

    address: str
    blocks: int


@dataclass(frozen=True, slots=True)
class Unreleased:
    """A reservation that could not be released; the orphan controller tries again."""

    address: str
    name: str


class Reservations:
    """Reservations on engines. Members are in order of name at every instance."""

    def __init__(
        self,
        engines: EnginePort,
        identity: Identity,
        clock: Clock,
        wall_clock: WallClock,
        call_timeout: float,
    ) -> None:
        self._engines = engines
        self._identity = identity
        self._clock = clock
        self._wall_clock = wall_clock
        self._timeout = call_timeout
        self.failed_at: dict[Unreleased, float] = {}

    async def reserve(self, name: str, members: Sequence[Member], deadline: float) -> bool:
        """Reserve on each member in order until deadline, in seconds of the steady clock.

        When one fails, all are released, and False is returned.
        """
        wall_deadline = self._wall_clock() + deadline - self._clock()
        asked: list[str] = []
        for member in members:
            # An unanswered reservation may be held all the same, so it is released too.
            asked.append(member.address)
            if not await self._reserve_one(name, member, wall_deadline):
                await self.release(name, asked)
                return False
        return True

    async def release(self, name: str, addresses: Sequence[str]) -> None:
        """Release on each member; what can't be reached is noted."""
        for address in addresses:
            try:
                await self._engines.release(address, name, self._timeout)
            except CallFailedError:
                self.failed_at[Unreleased(address, name)] = self._clock()

    async def repeat_failed(self, give_up_after: float) -> None:
        """Try again what could not be released; after give_up_after seconds its deadline counts."""
        for item in list(self.failed_at):
            try:
                await self._engines.release(item.address, item.name, self._timeout)
            except CallFailedError:
                if self._clock() - self.failed_at[item] < give_up_after:
                    continue
            self.failed_at.pop(item, None)

    async def _reserve_one(self, name: str, member: Member, wall_deadline: float) -> bool:
        wanted = ReservationRequest(
            name=name,
            instance=self._identity.instance,
            incarnation=self._identity.incarnation,
            blocks=member.blocks,
            deadline=wall_deadline,
        )
        try:
            return await self._engines.reserve(member.address, wanted, self._timeout)
        except CallFailedError:
            return False
