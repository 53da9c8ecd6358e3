"""SWIM's failure detector: probes one member per interval, directly and, if that fails, through other members.

Described in SWIM, section 3.1; nacks, local health and buddy system are Lifeguard's. A member that answers neither
directly nor through others is reported to `member_states` as suspected. The detector owns the probe in progress and the
pings relayed for other members; `membership` starts it and passes in acks, nacks and ping requests.
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
    """The probe in progress.

    Attributes:
        sequence: sequence number of its ping and ping requests.
        target: name of the probed member.
        acked: whether the target answered, directly or through a relay.
        relays: number of members asked to ping the target.
        nacks: number of relays that reported no answer from the target.
    """

    sequence: int
    target: str
    acked: bool = False
    relays: int = 0
    nacks: int = 0


@dataclass(frozen=True, slots=True)
class RelayedPing:
    """A ping sent on behalf of another member.

    Attributes:
        requester: address to which the answer is forwarded.
        sequence: sequence number of the requester's ping request.
        expires_at: local monotonic ms after which an answer is no longer forwarded.
    """

    requester: Address
    sequence: int
    expires_at: float


class FailureDetector:
    """Probes the live members of a member table in turn."""

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
        self._failed_once = ""  # member that is probed again after one failed probe; empty for none
        self._relayed: dict[int, RelayedPing] = {}  # by the sequence number of the ping sent from here
        self._sequence = 0

    def start(self, now: float) -> None:
        """Start probing after a random delay, so that the members' probes are spread over time."""
        first = now + self.settings.probe_interval_ms * (0.5 + self.rng.random())
        self.timers.call_at(first, self._run_interval)

    def cancel_probe(self) -> None:
        """Discard the probe in progress, because this process was stalled and may have missed the answer."""
        self._probe = None

    # Probing.

    def _run_interval(self, now: float) -> None:
        """Finish the probe of the previous interval and start the next probe."""
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
            # Lifeguard's buddy system: the prober notifies a suspect of the suspicion, which can then be refuted early.
            messages.append(Suspect(target.name, target.incarnation, self.table.local.name))
        self.send(target.address, messages, piggyback=True)
        timeout = self.settings.probe_timeout_ms * multiplier
        self.timers.call_at(now + timeout, lambda _: self._probe_indirectly(probe))

    def _probe_indirectly(self, probe: Probe) -> None:
        """Ask other members to ping the target, which has not answered directly in time."""
        target = self.table.get(probe.target)
        if probe.acked or probe is not self._probe or target is None or self.table.local.has_left:
            return
        wanted = self.settings.indirect_probes
        relays = [name for name in self.table.live.sample(self.rng, wanted + 1) if name != probe.target][:wanted]
        probe.relays = len(relays)
        for name in relays:
            request = PingRequest(probe.sequence, target.name, *target.address)
            self.send(self.table.members[name].address, [request], piggyback=True)
        # Repeat the direct ping, so that the loss of one datagram can be made up for without relays.
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
        # A relay that gets no answer sends a nack. If nacks are missing too, the fault may be at this instance.
        self.health.record_failure(probe.relays - probe.nacks if probe.relays else 1)
        target = self.table.get(probe.target)
        if target is not None and target.name in self.table.live:
            self._handle_failure(now, target)

    def _handle_failure(self, now: float, target: Member) -> None:
        # After a first failure the target is only probed again. Otherwise every lost datagram would cause a suspicion
        # and a refutation that are broadcast to all members, and each member's traffic would grow with the cluster.
        if target.state == MemberState.ALIVE and self._failed_once != target.name:
            self._failed_once = target.name
            self.ring.repeat(target.name)
        else:
            self._failed_once = ""
            self.states.suspect(now, target, target.incarnation, self.table.local.name)

    # Answers, and pings on behalf of other members.

    def on_ack(self, ack: Ack) -> None:
        """Handle an answer from the target of the probe in progress or of a relayed ping."""
        if self._probe is not None and self._probe.sequence == ack.sequence:
            self._probe.acked = True
        elif (relayed := self._relayed.pop(ack.sequence, None)) is not None:
            self.send(relayed.requester, [Ack(relayed.sequence)], piggyback=False)

    def on_nack(self, nack: Nack) -> None:
        """Count a relay that got no answer from the target of the probe in progress."""
        if self._probe is not None and self._probe.sequence == nack.sequence:
            self._probe.nacks += 1

    def on_ping_request(self, now: float, requester: Address, request: PingRequest) -> None:
        """Ping a member on behalf of another member."""
        sequence = self._next_sequence()
        expires_at = now + self.settings.probe_interval_ms
        self._relayed[sequence] = RelayedPing(requester, request.sequence, expires_at)
        self.send((request.host, request.port), [Ping(sequence, request.target)], piggyback=False)
        self.timers.call_at(now + self.settings.probe_timeout_ms, lambda _: self._send_nack(sequence))
        for expired in [key for key, relayed in self._relayed.items() if relayed.expires_at < now]:
            del self._relayed[expired]

    def _send_nack(self, sequence: int) -> None:
        relayed = self._relayed.get(sequence)
        if relayed is not None:  # kept until it expires, as a late answer is still forwarded
            self.send(relayed.requester, [Nack(relayed.sequence)], piggyback=False)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
