"""SWIM's failure detector: probes one member in each interval, directly and through other members.

SWIM section 3.1, with Lifeguard's nacks, local health and buddy system. A member that answers neither directly nor
through others is reported to `member_states` as suspected. Owns the probe under way and the pings relayed for others;
`membership` starts it and hands it pings' answers and ping requests.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

from decklb.cluster.events import MembershipCounters
from decklb.cluster.gossip import Send
from decklb.cluster.local_health import LocalHealth
from decklb.cluster.member import Address, Member
from decklb.cluster.member_states import MemberStates
from decklb.cluster.member_table import MemberTable
from decklb.cluster.messages import Ack, MemberState, Message, Nack, Ping, PingRequest, Suspect
from decklb.cluster.probe_ring import ProbeRing
from decklb.cluster.settings import MembershipSettings
from decklb.cluster.timers import TimerQueue


@dataclass(slots=True)
class Probe:
    """The probe under way.

    Attributes:
        sequence: of its ping, and of the ping requests for it.
        target: name of the member.
        acked: whether the member answered, directly or through a relay.
        relays: members asked to ping it.
        nacks: of these, how many said that they got no answer.
    """

    sequence: int
    target: str
    acked: bool = False
    relays: int = 0
    nacks: int = 0


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping that we sent for another member.

    Attributes:
        requester: where its answer goes.
        sequence: of the requester's ping request.
        expires_at: after which an answer is passed on no more; local monotonic ms.
    """

    requester: Address
    sequence: int
    expires_at: float


class FailureDetector:
    """Probes the live members of a table in turn."""

    def __init__(
        self,
        settings: MembershipSettings,
        table: MemberTable,
        ring: ProbeRing,
        states: MemberStates,
        health: LocalHealth,
        timers: TimerQueue,
        rng: random.Random,
        send: Send,
        counters: MembershipCounters,
    ) -> None:
        self.settings = settings
        self.table = table
        self.ring = ring
        self.states = states
        self.health = health
        self.timers = timers
        self.rng = rng
        self.send = send
        self.counters = counters
        self._probe: Probe | None = None
        self._failed_once = ""  # the member whose last probe failed, and that is being probed again
        self._relayed: dict[int, RelayedPing] = {}  # by the sequence of our ping
        self._sequence = 0

    def start(self, now: float) -> None:
        """Begin to probe, at a random moment so that members are spread."""
        first = now + self.settings.probe_interval_ms * (0.5 + self.rng.random())
        self.timers.call_at(first, self._run_interval)

    def cancel_probe(self) -> None:
        """Forget the probe under way: this process was stalled, and may have missed the answer."""
        self._probe = None

    # Probing.

    def _run_interval(self, now: float) -> None:
        """End the last interval's probe and begin the next one's."""
        self._finish_probe(now)
        multiplier = self.health.timeout_multiplier
        self.timers.call_at(now + self.settings.probe_interval_ms * multiplier, self._run_interval)
        target = self.ring.next()
        if target is None or self.table.local.has_left:
            return
        self.counters.probes += 1
        probe = self._probe = Probe(self._next_sequence(), target.name)
        messages: list[Message] = [Ping(probe.sequence, target.name)]
        if target.state == MemberState.SUSPECT:
            # Lifeguard's buddy system: a suspect hears of the suspicion first from whoever probes it.
            messages.append(Suspect(target.name, target.incarnation, self.table.local.name))
        self.send(target.address, messages, piggyback=True)
        timeout = self.settings.probe_timeout_ms * multiplier
        self.timers.call_at(now + timeout, lambda _: self._probe_indirectly(probe))

    def _probe_indirectly(self, probe: Probe) -> None:
        """No direct answer in time: ask other members to ping the target."""
        target = self.table.get(probe.target)
        if probe.acked or probe is not self._probe or target is None or self.table.local.has_left:
            return
        wanted = self.settings.indirect_probes
        relays = [name for name in self.table.live.sample(self.rng, wanted + 1) if name != probe.target][:wanted]
        probe.relays = len(relays)
        for name in relays:
            request = PingRequest(probe.sequence, target.name, *target.address)
            self.send(self.table.members[name].address, [request], piggyback=True)
        # The direct way once more: one lost datagram should not need others.
        self.send(target.address, [Ping(probe.sequence, target.name)], piggyback=False)

    def _finish_probe(self, now: float) -> None:
        probe, self._probe = self._probe, None
        if probe is None:
            return
        if probe.acked:
            self._failed_once = ""
            self.health.record_success()
            return
        self.counters.failed_probes += 1
        # Relays that get no answer say so. Where they don't, the fault may be ours.
        self.health.record_failure(probe.relays - probe.nacks if probe.relays else 1)
        target = self.table.get(probe.target)
        if target is not None and target.name in self.table.live:
            self._handle_failure(now, target)

    def _handle_failure(self, now: float, target: Member) -> None:
        # The first failure is kept to ourselves and tried again: reported at once, losses would make every member hear
        # of suspicions and refutations that grow with the members, and bytes with them.
        if target.state == MemberState.ALIVE and self._failed_once != target.name:
            self._failed_once = target.name
            self.ring.repeat(target.name)
        else:
            self._failed_once = ""
            self.states.suspect(now, target, target.incarnation, self.table.local.name)

    # Answers, and pings for others.

    def on_ack(self, ack: Ack) -> None:
        """A target answered: ours, or that of a ping that we relayed."""
        if self._probe is not None and self._probe.sequence == ack.sequence:
            self._probe.acked = True
        elif (relayed := self._relayed.pop(ack.sequence, None)) is not None:
            self.send(relayed.requester, [Ack(relayed.sequence)], piggyback=False)

    def on_nack(self, nack: Nack) -> None:
        """A relay got no answer from our target."""
        if self._probe is not None and self._probe.sequence == nack.sequence:
            self._probe.nacks += 1

    def on_ping_request(self, now: float, requester: Address, request: PingRequest) -> None:
        """Ping a member for another."""
        sequence = self._next_sequence()
        expires_at = now + self.settings.probe_interval_ms
        self._relayed[sequence] = RelayedPing(requester, request.sequence, expires_at)
        self.send((request.host, request.port), [Ping(sequence, request.target)], piggyback=False)
        self.timers.call_at(now + self.settings.probe_timeout_ms, lambda _: self._send_nack(sequence))
        for expired in [key for key, relayed in self._relayed.items() if relayed.expires_at < now]:
            del self._relayed[expired]

    def _send_nack(self, sequence: int) -> None:
        relayed = self._relayed.get(sequence)
        if relayed is not None:  # it stays: a late answer is still passed on
            self.send(relayed.requester, [Nack(relayed.sequence)], piggyback=False)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
