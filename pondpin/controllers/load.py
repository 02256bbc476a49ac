"""Polls upstreams for their load, cache events and shutdown notices."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from absl import logging

from pondpin.availability import BlockReason
from pondpin.clocks import Clock
from pondpin.configuration import UpstreamKind
from pondpin.controllers.base import Controller
from pondpin.engine_client import EnginePort
from pondpin.fleet import Fleet, UpstreamState
from pondpin.health import record_failure, record_success
from pondpin.http_streams import CallFailedError
from pondpin.notice_headers import LEAVING
from pondpin.service_client import ServicePort


class LoadController(Controller):
    """Polls all upstreams concurrently, once per period."""

    def __init__(
        self,
        fleet: Fleet,
        engines: EnginePort,
        services: ServicePort,
        clock: Clock,
        period: float,
        timeout: float,
        rng: random.Random,
        after_poll: Callable[[], None],
        on_fence: Callable[[int], None],
    ) -> None:
        super().__init__()
        self.period = 0.0
        self._mean_period = period
        self._fleet = fleet
        self._engines = engines
        self._services = services
        self._clock = clock
        self._timeout = timeout
        self._random = rng
        self._after_poll = after_poll
        self._on_fence = on_fence
        self._polling: set[str] = set()
        self._polls: set[asyncio.Task[None]] = set()

    async def step(self) -> None:
        """Start a poll of each upstream without a poll in progress; a slow one delays no other.

        Upstreams within a rest (Retry-After) period aren't polled.
        """
        now = self._clock()
        for state in list(self._fleet.by_name.values()):
            if state.name not in self._polling and state.bar(now) is not BlockReason.RESTING:
                self._polling.add(state.name)
                self._spawn(self._poll(state))
        # Jitter keeps instances that started together from polling together.
        self.period = self._mean_period * (0.9 + 0.2 * self._random.random())

    async def stop(self) -> None:
        """Stop, and cancel polls in progress."""
        await super().stop()
        for task in list(self._polls):
            task.cancel()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._polls.add(task)
        task.add_done_callback(self._polls.discard)

    async def _poll(self, state: UpstreamState) -> None:
        was_leaving, was_ejected = state.leaving, state.health.is_ejected(self._clock())
        try:
            if state.upstream.kind is UpstreamKind.ENGINE:
                await self._poll_engine(state)
            else:
                await self._poll_service(state)
            state.health = record_success(state.health, self._clock())
        except CallFailedError as error:
            state.health = record_failure(state.health, self._clock(), certain=not error.sent)
        finally:
            state.polled = True
            self._polling.discard(state.name)
        if state.leaving and not was_leaving:
            logging.info("upstream %s is leaving", state.name)
        if state.health.is_ejected(self._clock()) != was_ejected:
            logging.info("upstream %s %s", state.name, "back" if was_ejected else "ejected")
        self._after_poll()

    async def _poll_engine(self, state: UpstreamState) -> None:
        address = state.upstream.address
        report = await self._engines.load(address, self._timeout)
        state.take_report(report, self._clock())
        if report.fence and state.upstream.checks_fences:
            self._on_fence(report.fence)
        index = state.prefixes
        if report.cache_sequence <= index.last_sequence:
            return
        events = await self._engines.cache_events(address, index.last_sequence, self._timeout)
        if events.incarnation != state.incarnation:
            return
        for event in events.events:
            index.note_event(event.sequence, event.kind, event.block)

    async def _poll_service(self, state: UpstreamState) -> None:
        report = await self._services.load(state.upstream.address, self._timeout)
        state.note_incarnation(report.incarnation)
        state.heard_at = self._clock()
        if report.state == LEAVING:
            state.mark_leaving(report.incarnation)
