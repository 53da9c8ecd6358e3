"""One member's view of all zones: their state, the capacity that is up and the load of the callers in each zone.

Owns the consensus with the other members (`ZoneConsensus`), a second one with this member only (used while the member
is isolated or is set to decide alone), the reported loads, and the exchange of messages. Driven by `runtime.py`;
queried by the zone selector and by maintenance. Does no I/O. Times are ms on this member's monotonic clock.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace
from typing import Any, NamedTuple

from decklb.cluster.errors import WireError
from decklb.cluster.notices import Notice
from decklb.locality import messages
from decklb.locality.consensus import ZoneConsensus
from decklb.locality.settings import DecisionMode, LocalitySettings
from decklb.locality.zone_state import NEVER, DecidedState, Decision, Vote, ZoneObservation, ZoneState

SENDS_PER_TTL = 3  # messages that a member sends within one observation TTL if nothing has changed


class MemberLoad(NamedTuple):
    """The load of a member's own callers, as reported by the member."""

    zone: str
    load_cores: float
    reported_at: float


class ZoneCoordinator:
    """Coordinates the states and loads of zones for one member.

    Attributes:
        consensus: The consensus with the other members.
        standalone: A consensus of which this member is the only participant.
        own_load_cores: Load of this member's own callers, in cores.
        member_loads: Loads of the other members, by name.
        outgoing: Datagrams to send to all other members.
        notices: Events to log.
        dropped: Number of datagrams that could not be decoded.
    """

    def __init__(self, settings: LocalitySettings, member: str, now: float) -> None:
        zones = settings.region_of
        self.consensus = ZoneConsensus(settings, member, zones, now)
        self.standalone = ZoneConsensus(replace(settings, member_count=1), member, zones, now)
        self.standalone.voting_from = now  # no other member counts its votes, so no earlier vote can conflict
        self.own_load_cores = 0.0
        self.member_loads: dict[str, MemberLoad] = {}
        self.outgoing: list[bytes] = []
        self.notices: list[Notice] = []
        self.dropped = 0
        self._settings, self._member = settings, member
        self._isolation_logged = False
        self._last_sent: tuple[tuple[str, int, ZoneState | None], ...] = ()
        self._last_sent_at = NEVER
        self._logged_states: dict[str, ZoneState] = {}

    @property
    def decides_alone(self) -> bool:
        """Whether this member's own observation alone decides."""
        return self._settings.decision_mode is DecisionMode.ALONE or self.consensus.isolated

    def update_members(self, known: Collection[str]) -> None:
        """Replace the set of known members, and drop the loads of members that are no longer known."""
        self.consensus.update_members(known)
        self.member_loads = {name: load for name, load in self.member_loads.items() if name in self.consensus.known}

    def observe(self, now: float, zone: str, observation: ZoneObservation) -> None:
        """Record this member's own observation of a zone."""
        self.consensus.observe(now, zone, observation)
        self.standalone.observe(now, zone, observation)

    def receive(self, now: float, sender: str, data: bytes) -> None:
        """Process another member's datagram; one that cannot be decoded is counted and otherwise ignored."""
        try:
            report = messages.decode(data, sender)
        except WireError:
            self.dropped += 1
            return
        self.member_loads[sender] = MemberLoad(report.home_zone, report.load_cores, now)
        for item in report.votes_and_decisions:
            self.consensus.receive(now, item, sender)

    def tick(self, now: float) -> None:
        """Cast and count votes, and queue messages; the caller has to empty `outgoing` and `notices` afterwards."""
        self.standalone.tick(now)
        self.standalone.outgoing.clear()
        self.consensus.tick(now)
        items, self.consensus.outgoing = self.consensus.outgoing, []
        if self._settings.decision_mode is not DecisionMode.ALONE:
            self._send(now, items)
            self._log_isolation()
        self._log_states()

    def state(self, zone: str) -> DecidedState:
        """Return the state of a zone and since when it holds. A zone that is in no region is always healthy."""
        if zone not in self.consensus.zones:
            return DecidedState(ZoneState.HEALTHY, NEVER)
        return self._effective_consensus().state(zone)

    def reachable_fraction(self, zone: str, now: float) -> float:
        """Return the fraction of a zone's capacity that is up."""
        if zone not in self.consensus.zones:
            return 1.0
        return self._effective_consensus().reachable_fraction(zone, now)

    def unhealthy_zones(self) -> frozenset[str]:
        """Return the zones that are degraded, out or returning."""
        return frozenset(zone for zone in self.consensus.zones if self.state(zone).state is not ZoneState.HEALTHY)

    def load_cores(self, now: float) -> dict[str, float]:
        """Return the load of the callers in each zone in cores, as the sum of all members' reports."""
        loads = dict.fromkeys(self.consensus.zones, 0.0)
        if self._settings.home_zone in loads:
            loads[self._settings.home_zone] = self.own_load_cores
        for load in self.member_loads.values():
            if load.zone in loads and now - load.reported_at <= self._settings.observation_ttl_ms:
                loads[load.zone] += load.load_cores
        return loads

    def status(self, now: float) -> list[dict[str, Any]]:
        """Return a row for each zone, for operators. The keys are part of the public interface."""
        loads = self.load_cores(now)
        return [self._status_row(zone, now, loads[zone]) for zone in self.consensus.zones]

    def _effective_consensus(self) -> ZoneConsensus:
        return self.standalone if self.decides_alone else self.consensus

    def _send(self, now: float, items: list[Vote | Decision]) -> None:
        """Queue a message at once if a vote is open or the content is new, else SENDS_PER_TTL times per TTL."""
        content = tuple((item.zone, item.term, item.state) for item in items)
        vote_open = any(isinstance(item, Vote) and item.state is not None for item in items)
        due = now - self._last_sent_at >= self._settings.observation_ttl_ms / SENDS_PER_TTL
        if vote_open or content != self._last_sent or due:
            self._last_sent, self._last_sent_at = content, now
            self.outgoing += messages.encode(self._settings.home_zone, self.own_load_cores, items)

    def _log_isolation(self) -> None:
        isolated = self.consensus.isolated
        if isolated != self._isolation_logged:
            self._isolation_logged = isolated
            event = "zone-quorum-lost" if isolated else "zone-quorum-restored"
            self.notices.append(Notice(event, {"member": self._member, "quorum": self.consensus.quorum}))

    def _log_states(self) -> None:
        for zone, record in self.consensus.zones.items():
            state = self.state(zone).state
            previous = self._logged_states.get(zone, ZoneState.HEALTHY)
            if state is previous:
                continue
            self._logged_states[zone] = state
            fields = {
                "zone": zone,
                "state": state.name.lower(),
                "previous": previous.name.lower(),
                "term": record.term,
                "decided": "alone" if self.decides_alone else "common",
            }
            self.notices.append(Notice("zone-state", fields))

    def _status_row(self, zone: str, now: float, load_cores: float) -> dict[str, Any]:
        record = self.consensus.zones[zone]
        state, since = self.state(zone)
        votes = {
            name: received.vote.state.name.lower()
            for name, received in sorted(record.votes.items())
            if received.vote.state is not None
            and received.vote.term > record.term
            and now - received.received_at <= self._settings.observation_ttl_ms
        }
        return {
            "zone": zone,
            "region": self._settings.region_of[zone],
            "state": state.name.lower(),
            "term": record.term,
            "since_ms": round(now - since) if since > NEVER else None,
            "up": self.reachable_fraction(zone, now),
            "load_cores": round(load_cores, 2),
            "votes": votes,
            "home": zone == self._settings.home_zone,
        }
