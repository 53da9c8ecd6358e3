"""One member's part in deciding the states of zones in common (free of I/O).

Each term of a zone is decided once: a member votes at most once in a term, and a state is decided when more than half
of all known members voted for it in that term, so two states can't both be. A member votes for what it has seen for a
while itself; one that saw nothing of the zone lately follows most of those that did, and one that only probes it
follows those whom engines there answered badly or late. One member's bad link, or one that lies, moves nothing.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from enum import IntEnum

from msgspec import Struct

from decklb.locality.settings import LocalitySettings


class State(IntEnum):
    """Of a zone. A zone that was out returns before it is healthy."""

    HEALTHY = 0
    DEGRADED = 1
    OUT = 2
    RETURNING = 3


@dataclass(frozen=True, slots=True)
class View:
    """What one member saw of a zone lately."""

    up: float  # share of the zone's capacity that the member can reach
    errors: float = 0.0  # share of its attempts there that the engines failed
    slowness: float = 1.0  # latency over what is usual there
    weak: bool = False  # only probes were sent there, and all were answered: errors of requests don't show

    @property
    def cut(self) -> bool:
        """Whether engines that can't be reached are what speaks against the zone; that may be the way to them."""
        return 1.0 - self.up > self.errors


class Ballot(Struct, frozen=True, gc=False):
    """A member's vote, as it is told to all. `state` None: it saw nothing that speaks for a change."""

    zone: str
    member: str
    term: int
    state: State | None
    seen: bool  # whether it has sent requests there lately, or found engines down
    cut: bool = False  # whether it can't reach them
    up: float = 1.0  # share of the zone's capacity that it reaches


class Decided(Struct, frozen=True, gc=False):
    """A state and its term. `age` is ms since it was decided, by the sender's clock."""

    zone: str
    term: int
    state: State
    age: float = 0.0


@dataclass(slots=True)
class Zone:
    """What a member holds of one zone."""

    state: State = State.HEALTHY
    term: int = 0
    since: float = -float("inf")  # when it was decided, on this member's clock
    view: View | None = None
    viewed: float = -float("inf")
    wanted: State | None = None
    wanted_since: float = 0.0
    cast: tuple[int, State] | None = None  # own vote, and when it was given
    cast_at: float = 0.0
    ballots: dict[str, tuple[Ballot, float]] = field(default_factory=dict)


def seen_as(view: View, now_state: State, settings: LocalitySettings) -> State:
    """What a view by itself says of a zone. A state is left only well past where it was entered, so that a zone at the
    edge does not go to and fro."""
    slack = 0.8 if now_state in (State.DEGRADED, State.OUT) else 1.0
    bad = max(1.0 - view.up, view.errors)
    if bad >= settings.out_threshold * slack:
        return State.OUT
    if bad >= settings.degraded_threshold * slack or view.slowness >= settings.degraded_latency_ratio * slack:
        return State.DEGRADED
    return State.HEALTHY


class Zones:
    """All zones, as one member holds them. `out` gathers what is to be told to all others."""

    def __init__(self, settings: LocalitySettings, me: str, zones: Collection[str], now: float) -> None:
        self.s, self.me = settings, me
        self.zones = {name: Zone() for name in sorted(zones)}
        self.known: frozenset[str] = frozenset((me,))
        self.out: list[Ballot | Decided] = []
        self.alone = False  # no quorum was heard for `keep`: this member goes by its own view
        # A member that starts may have voted in its life before: by then those votes have lapsed everywhere.
        self.voting_from = now + settings.observation_ttl_ms + settings.vote_timeout_ms
        self._heard: dict[str, float] = {}
        self._quorum_at = now

    def members(self, known: Collection[str]) -> None:
        """All members that count, dead or alive: a quorum is more than half of them, and of what the settings say."""
        self.known = frozenset(known) | {self.me}

    @property
    def quorum(self) -> int:
        """How many members decide."""
        return max(len(self.known), self.s.member_count) // 2 + 1

    def saw(self, now: float, zone: str, view: View) -> None:
        """This member's own view."""
        z = self.zones.get(zone)
        if z is not None:
            z.view, z.viewed = view, now

    def hear(self, now: float, word: Ballot | Decided, sender: str) -> None:
        """A word of another member."""
        self._heard[sender] = now
        z = self.zones.get(word.zone)
        if z is None:
            return
        if isinstance(word, Decided):
            if word.term > z.term:
                self._decide(now - word.age, z, word.term, word.state)
        elif word.member == sender and sender in self.known:
            before = z.ballots.get(sender)
            if before is None or word.term >= before[0].term:
                z.ballots[sender] = word, now

    def state(self, zone: str) -> tuple[State, float]:
        """What was decided for a zone, and when."""
        z = self.zones[zone]
        return z.state, z.since

    def up(self, zone: str, now: float) -> float:
        """The share of a zone's capacity that is up: the median of what members reach."""
        since = now - self.s.observation_ttl_ms
        shares = sorted([b.up for b, at in self.zones[zone].ballots.values() if at >= since])
        return shares[len(shares) // 2] if shares else 1.0

    def tick(self, now: float) -> None:
        """What time does; to be called a few times a second."""
        heard = [at for name, at in self._heard.items() if name in self.known]
        reached = 1 + sum(now - at <= self.s.observation_ttl_ms for at in heard)
        if reached >= self.quorum:
            self._quorum_at, self.alone = now, False
        elif now - self._quorum_at > self.s.isolation_grace_ms:
            self.alone = True
        for name, z in self.zones.items():
            self._want(now, z)
            self._vote(now, name, z)
            self._count(now, name, z)

    # Inside.

    def _want(self, now: float, z: Zone) -> None:
        wanted: State | None = None
        if z.view is not None and now - z.viewed <= self.s.observation_ttl_ms:
            seen = seen_as(z.view, z.state, self.s)
            if z.state is State.OUT and seen is not State.OUT:
                wanted = State.RETURNING
            elif z.state is State.RETURNING and seen is State.HEALTHY:
                wanted = State.HEALTHY if now - z.since >= self.s.recovery_ramp_ms else None
            elif seen is not z.state and not (z.state is State.RETURNING and seen is State.DEGRADED):
                wanted = seen
        if wanted is not z.wanted:
            z.wanted, z.wanted_since = wanted, now

    def _vote(self, now: float, name: str, z: Zone) -> None:
        view = z.view if now - z.viewed <= self.s.observation_ttl_ms else None
        wish = z.wanted if now - z.wanted_since >= self.s.stabilization_ms else None
        if view is None or view.weak:
            seers = [
                b
                for b, at in z.ballots.values()
                if b.seen and now - at <= self.s.observation_ttl_ms and not (view is not None and b.cut)
            ]
            if seers or view is None:
                wish = self._followed(z, seers)
        if wish is not None and now >= max(z.since + self.s.min_state_duration_ms, self.voting_from):
            highest = max([z.term, *(b.term for b, at in z.ballots.values() if now - at <= self.s.observation_ttl_ms)])
            term = max(z.term + 1, highest)
            if z.cast is not None and z.cast[0] >= term:
                term = z.cast[0]  # one vote a term: another wish waits for the next
                if z.cast[1] is not wish and now - z.cast_at >= self.s.vote_timeout_ms:
                    term += 1
            if z.cast is None or z.cast[0] < term:
                z.cast, z.cast_at = (term, wish), now
        cast = z.cast if z.cast is not None and z.cast[0] > z.term else None
        ballot = Ballot(
            name,
            self.me,
            cast[0] if cast else z.term,
            cast[1] if cast else None,
            view is not None and not view.weak,
            view is not None and view.cut,
            view.up if view is not None else 1.0,
        )
        z.ballots[self.me] = ballot, now
        self.out.append(ballot)
        if z.term:
            self.out.append(Decided(name, z.term, z.state, max(0.0, now - z.since)))

    def _followed(self, z: Zone, seers: list[Ballot]) -> State | None:
        """What most of those that saw the zone lately vote for, for a member that did not."""
        for state in State:
            if 2 * sum(b.state is state and b.term > z.term for b in seers) > len(seers):
                return state
        return None

    def _count(self, now: float, name: str, z: Zone) -> None:
        tally: dict[tuple[int, State], int] = {}
        for member, (b, at) in z.ballots.items():
            fresh = now - at <= self.s.observation_ttl_ms
            if member in self.known and b.state is not None and b.term > z.term and fresh:
                tally[b.term, b.state] = tally.get((b.term, b.state), 0) + 1
        for (term, state), votes in sorted(tally.items()):
            if votes >= self.quorum:
                self._decide(now, z, term, state)
                self.out.append(Decided(name, term, state))

    def _decide(self, when: float, z: Zone, term: int, state: State) -> None:
        z.term, z.state, z.since = term, state, when
        z.wanted = None
