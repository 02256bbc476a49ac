"""Acquires permits of limited upstreams from their owners, and replies to requests for permits.

An owner replies with a datagram within a few ms; without a reply, the next owner is asked.
"""

import asyncio
import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass

from pondpin.clocks import Clock
from pondpin.pacer import Permit, permit_interval
from pondpin.relay.peers.permit_issuer import PERMIT_VALID_SECONDS, PermitIssuer
from pondpin.relay.peers.permit_messages import (
    PERMITS_FORMAT,
    PermitClaim,
    PermitMessage,
    PermitReply,
    PermitRequest,
    PermitUse,
    decode_permits,
    encode_permits,
)
from pondpin.relay.upstreams.state import UpstreamState

# A round trip between data centres takes 4 ms; a busy instance replies about 20 ms later.
ANSWER_TIMEOUT_SECONDS = 0.06
# Owners asked for one request. One without a permit replies when it will have the next, and is not
# asked before that.
MAX_OWNERS_ASKED = 4
# An owner that gave no reply is not asked for this long: its process may have ended.
OWNER_SILENT_SECONDS = 0.5
# Bound on the announced time until the next permit.
MAX_RETRY_AFTER_SECONDS = 60.0
# Claims of an owner, and how many instances receive them. An owner whose digests are overdue, as 2
# in 100 are in a fleet of 66, is alive if it sent a permit message within HEARD_SECONDS; two of its
# claims may be lost.
CLAIM_SECONDS = 0.5
CLAIM_HOSTS = 3
HEARD_SECONDS = 1.5
# Requests without a reply that are remembered; a reply is rarely over a second late.
MAX_LATE_HOSTS = 256
# Instances that were refused a permit of a cold upstream within this time are likely to ask again.
REFUSED_SECONDS = 2.0
# They are told to come back within this share of the time that permits for all of them take, so
# that the owner is asked some four times for each permit, and none lapses.
SPREAD_SHARE = 0.5
MAX_SPREAD_SECONDS = 2.0
MILLISECONDS = 1000.0


@dataclass(frozen=True, slots=True)
class NoPermit:
    """No permit in time; retry_after: seconds until the earliest known one."""

    retry_after: float


@dataclass
class PermitBroker:
    """Acquires permits for requests of this instance; write sends a datagram to a host."""

    issuer: PermitIssuer
    boot: int
    host: str
    write: Callable[[bytes, str], None]
    clock: Clock
    rng: random.Random

    def __post_init__(self) -> None:
        # Request ids start at boot, so that replies to an earlier process match no request.
        self._last_request_id = self.boot
        self._pending: dict[int, asyncio.Future[PermitReply]] = {}
        # Time of the next permit of an owner, by its host and the service.
        self._available_at: dict[tuple[str, str], float] = {}
        # The same of a cold life.
        self._next_at_by_life: dict[int, float] = {}
        # Owners of requests that ended without a reply, the latest last.
        self._late_hosts: OrderedDict[int, str] = OrderedDict()
        # When each host was last refused a permit here, by life.
        self._refused_at: dict[int, dict[str, float]] = {}
        self._silent_until: dict[str, float] = {}
        # When each host last sent a request, a reply or a claim.
        self.heard_at_by_host: dict[str, float] = {}
        self.claims_by_host: dict[str, PermitClaim] = {}
        self._claimed_at_by_life: dict[int, float] = {}
        self.bytes_out = 0
        self.refused_count = 0

    async def acquire(
        self, service: str, tried: Collection[int], max_wait: float
    ) -> Permit | NoPermit:
        """Acquire a permit of an upstream of a service that is valid within max_wait seconds.

        Upstreams that this instance owns come first, then those of other owners.
        """
        states = self.issuer.limited_upstreams(service, tried)
        permit = self.issuer.issue(states, max_wait)
        if permit is not None:
            return permit
        hosts = self._hosts_to_ask(states, service, max_wait)
        asked: set[str] = set()
        while hosts and len(asked) < MAX_OWNERS_ASKED:
            host = hosts.pop()
            asked.add(host)
            result = await self._request(host, service, tried, max_wait)
            if isinstance(result, Permit):
                return result
            if result and result not in asked:
                hosts.append(result)
        self.refused_count += 1
        return self._no_permit(states, service)

    async def acquire_of(self, state: UpstreamState, max_wait: float) -> Permit | NoPermit:
        """Acquire a permit of one upstream that is valid within max_wait seconds."""
        if self.issuer.is_owner(state):
            permit = self.issuer.issue([state], max_wait)
            if permit is None:
                return self._no_permit_of(state)
            self._claim(state)
            return permit
        asked: set[str] = set()
        host = self.issuer.owner(state).host
        while host and host not in asked and self._may_ask(state, host, max_wait):
            asked.add(host)
            result = await self._request(host, state.listed.service, (), max_wait, state.life)
            if isinstance(result, Permit):
                return result
            host = "" if result == self.host else result
        return self._no_permit_of(state)

    def _may_ask(self, state: UpstreamState, host: str, max_wait: float) -> bool:
        is_silent = self._silent_until.get(host, 0.0) > self.clock()
        return not is_silent and self.may_have_permit(state, max_wait)

    def may_have_permit(self, state: UpstreamState, max_wait: float) -> bool:
        """Whether a cold upstream may have a permit within max_wait seconds, as far as known."""
        return self._next_at_by_life.get(state.life, 0.0) <= self.clock() + max_wait

    def retry_after_of(self, state: UpstreamState) -> float:
        """Seconds until the next known permit of one upstream."""
        now = self.clock()
        if self.issuer.is_owner(state):
            retry_at = self.issuer.available_at([state])
        else:
            host = self.issuer.owner(state).host
            retry_at = max(
                self._next_at_by_life.get(state.life, now), self._silent_until.get(host, now)
            )
        return min(MAX_RETRY_AFTER_SECONDS, max(0.0, retry_at - now))

    def _no_permit_of(self, state: UpstreamState) -> NoPermit:
        """Remember when the next permit of an upstream comes, so that others aren't planned there.

        Without a reply, or an owner, it is tried again as late as a silent owner.
        """
        wait = self.retry_after_of(state) or OWNER_SILENT_SECONDS
        self._next_at_by_life[state.life] = self.clock() + wait
        return NoPermit(wait)

    def expire(self) -> None:
        """Forget times that have passed."""
        now = self.clock()
        self._next_at_by_life = {life: at for life, at in self._next_at_by_life.items() if at > now}
        heard = self.heard_at_by_host.items()
        self.heard_at_by_host = {host: at for host, at in heard if now - at < HEARD_SECONDS}
        for host in self.claims_by_host.keys() - self.heard_at_by_host.keys():
            del self.claims_by_host[host]
        claimed = self._claimed_at_by_life.items()
        self._claimed_at_by_life = {life: at for life, at in claimed if now - at < CLAIM_SECONDS}
        for life, refused in list(self._refused_at.items()):
            kept = {host: at for host, at in refused.items() if now - at < REFUSED_SECONDS}
            if kept:
                self._refused_at[life] = kept
            else:
                del self._refused_at[life]

    def was_heard(self, host: str) -> bool:
        """Whether a host sent a permit message lately."""
        heard_at = self.heard_at_by_host.get(host, float("-inf"))
        return self.clock() - heard_at < HEARD_SECONDS

    def _no_permit(self, states: Sequence[UpstreamState], service: str) -> NoPermit:
        return NoPermit(self.retry_after(states, service))

    def retry_after(self, states: Sequence[UpstreamState], service: str) -> float:
        """Seconds until the earliest known permit, or until a silent owner is asked again.

        0 if another owner can be asked now, MAX_RETRY_AFTER_SECONDS if no instance issues permits.
        """
        now = self.clock()
        times = [
            max(self._available_at.get((host, service), now), self._silent_until.get(host, now))
            for host in self._owner_hosts(states)
        ]
        retry_at = min([*times, self.issuer.available_at(states)])
        return min(MAX_RETRY_AFTER_SECONDS, max(0.0, retry_at - now))

    def release(self, permit: Permit) -> None:
        """Return a permit that was not used to its owner."""
        self._record_use(permit.life, permit.host, spent=False)

    def record_spent(self, state: UpstreamState) -> None:
        """Charge a send without a permit to the limit of its upstream."""
        if state.is_limited:
            self._record_use(state.life, self.issuer.owner(state).host, spent=True)

    def receive(self, data: bytes, now: float) -> bool:
        """Handle a permit message; False for any other datagram."""
        message = decode_permits(data)
        if message is None:
            return False
        if message.request is not None:
            self._handle_request(message.request)
        if message.reply is not None:
            self._handle_reply(message.reply)
        if message.use is not None:
            self._handle_use(message.use)
        if message.claim is not None:
            self._handle_claim(message.claim)
        return True

    def close(self) -> None:
        """Cancel pending requests."""
        for reply in self._pending.values():
            reply.cancel()

    def _owner_hosts(self, states: Sequence[UpstreamState]) -> list[str]:
        return sorted({self.issuer.owner(state).host for state in states} - {"", self.host})

    def _hosts_to_ask(
        self, states: Sequence[UpstreamState], service: str, max_wait: float
    ) -> list[str]:
        """Hosts that may have a permit in time, shuffled so that requests spread over them."""
        now = self.clock()
        hosts = [
            host
            for host in self._owner_hosts(states)
            if self._available_at.get((host, service), now) <= now + max_wait
            and self._silent_until.get(host, now) <= now
        ]
        self.rng.shuffle(hosts)
        return hosts

    async def _request(
        self, host: str, service: str, tried: Collection[int], max_wait: float, life: int = 0
    ) -> Permit | str:
        """A permit, else the host of another possible owner, "" for none known."""
        self._last_request_id += 1
        request_id = self._last_request_id
        pending: asyncio.Future[PermitReply] = asyncio.get_running_loop().create_future()
        self._pending[request_id] = pending
        max_wait_ms = int(max_wait * MILLISECONDS)
        request = PermitRequest(self.host, request_id, service, tuple(tried), max_wait_ms, life)
        self._send(PermitMessage(PERMITS_FORMAT, request=request), host)
        has_reply = False
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                reply = await pending
            has_reply = True
            self.heard_at_by_host[host] = self.clock()
        except TimeoutError:
            self._silent_until[host] = self.clock() + OWNER_SILENT_SECONDS
            return ""
        finally:
            # The permit of a later reply is returned.
            self._pending.pop(request_id, None)
            if not has_reply:
                self._late_hosts[request_id] = host
                while len(self._late_hosts) > MAX_LATE_HOSTS:
                    self._late_hosts.popitem(last=False)
        now = self.clock()
        at = now + reply.wait_ms / MILLISECONDS
        if reply.life:
            return Permit(reply.life, at, at + PERMIT_VALID_SECONDS, host)
        if reply.wait_ms:
            if life:
                self._next_at_by_life[life] = at
            else:
                self._available_at[host, service] = at
        elif not life:
            self._silent_until[host] = now + OWNER_SILENT_SECONDS
        return reply.host

    def _handle_request(self, request: PermitRequest) -> None:
        self.heard_at_by_host[request.host] = self.clock()
        states: Sequence[UpstreamState]
        if request.life:
            state = self.issuer.table.by_life(request.life)
            states = [state] if state is not None and state.is_limited else []
        else:
            states = self.issuer.limited_upstreams(request.service, request.tried)
        permit = self.issuer.issue(states, request.max_wait_ms / MILLISECONDS)
        if permit is None:
            reply = self._refuse(request, states)
        else:
            if request.life:
                self._claim(states[0])
            wait_ms = round((permit.valid_from - self.clock()) * MILLISECONDS)
            reply = PermitReply(request.request_id, permit.life, wait_ms)
        self._send(PermitMessage(PERMITS_FORMAT, reply=reply), request.host)

    def _claim(self, state: UpstreamState) -> None:
        now = self.clock()
        if now - self._claimed_at_by_life.get(state.life, float("-inf")) < CLAIM_SECONDS:
            return
        self._claimed_at_by_life[state.life] = now
        center = self.issuer.table.data_center
        claim = PermitClaim(self.host, self.issuer.instance, center, state.life)
        for host in self.issuer.successors(state, CLAIM_HOSTS):
            self._send(PermitMessage(PERMITS_FORMAT, claim=claim), host)

    def _handle_claim(self, claim: PermitClaim) -> None:
        self.heard_at_by_host[claim.host] = self.clock()
        self.claims_by_host[claim.host] = claim
        self.issuer.recheck_owners()

    def _refuse(self, request: PermitRequest, states: Sequence[UpstreamState]) -> PermitReply:
        available_at = self.issuer.available_at(states)
        if available_at < float("inf"):
            wait = available_at - self.clock()
            if request.life:
                wait += self._spread(states[0], request.host)
            wait = min(MAX_RETRY_AFTER_SECONDS, wait)
            # 0 would mean that this instance owns none of them.
            wait_ms = max(1, round(wait * MILLISECONDS))
            return PermitReply(request.request_id, 0, wait_ms)
        others = [host for host in self._owner_hosts(states) if host != request.host]
        return PermitReply(request.request_id, 0, 0, others[0] if others else "")

    def _spread(self, state: UpstreamState, host: str) -> float:
        """An extra wait for an instance that is refused a permit of a cold upstream.

        Free upstreams have the least load when they are cold, so most requests are planned there
        first. With 66 instances the owner would be asked some thousand times a second for each.
        """
        now = self.clock()
        refused = self._refused_at.setdefault(state.life, {})
        refused[host] = now
        hosts = sum(1 for at in refused.values() if now - at < REFUSED_SECONDS)
        interval = permit_interval(self.issuer.rate(state))
        return self.rng.random() * min(MAX_SPREAD_SECONDS, (hosts - 1) * interval * SPREAD_SHARE)

    def _handle_reply(self, reply: PermitReply) -> None:
        pending = self._pending.get(reply.request_id)
        if pending is not None and not pending.done():
            pending.set_result(reply)
        elif reply.life:
            # Returned to who issued it, which may no longer be the owner.
            host = self._late_hosts.pop(reply.request_id, "")
            if host:
                self._record_use(reply.life, host, spent=False)

    def _handle_use(self, use: PermitUse) -> None:
        self.issuer.record_use(use.life, use.spent)

    def _record_use(self, life: int, host: str, spent: bool) -> None:
        if host in ("", self.host):
            self.issuer.record_use(life, spent)
        else:
            self._send(PermitMessage(PERMITS_FORMAT, use=PermitUse(life, spent)), host)

    def _send(self, message: PermitMessage, host: str) -> None:
        data = encode_permits(message)
        self.bytes_out += len(data)
        self.write(data, host)
