"""One member's whole part in what all decide on zones: votes and loads go out as words, those of others come in, and
what holds is asked here (free of I/O)."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import replace
from typing import Any

from decklb.cluster.errors import WireError
from decklb.cluster.notices import Notice
from decklb.locality import messages as m
from decklb.locality.settings import ALONE, LocalitySettings
from decklb.locality.zones import Ballot, Decided, State, View, Zones


class Council:
    """What holds of each zone: the common decision, or the own one of a member that is alone."""

    def __init__(self, settings: LocalitySettings, me: str, now: float) -> None:
        self.s, self.me = settings, me
        zones = settings.region_of
        self.common = Zones(settings, me, zones, now)
        # The same rules with nobody else: for a member that is cut off, or that is to judge by itself.
        self.own = Zones(replace(settings, members=1), me, zones, now)
        self.own.voting_from = now
        self.load = 0.0  # cores that this member's own callers ask for
        self.loads: dict[str, tuple[str, float, float]] = {}  # by member: its zone, their cores, when it said so
        self.out: list[bytes] = []
        self.notices: list[Notice] = []
        self.dropped = 0  # words that could not be read
        self._alone = False
        self._said: tuple[Any, ...] = ()
        self._said_at = -float("inf")
        self._held: dict[str, State] = {}

    @property
    def alone(self) -> bool:
        """Whether this member goes by its own judgement."""
        return self.s.judge == ALONE or self.common.alone

    def members(self, known: Collection[str]) -> None:
        """All members that count; what those told that don't any more goes."""
        self.common.members(known)
        self.loads = {name: x for name, x in self.loads.items() if name in self.common.known}

    def saw(self, now: float, zone: str, view: View) -> None:
        """This member's own view."""
        self.common.saw(now, zone, view)
        self.own.saw(now, zone, view)

    def hear(self, now: float, sender: str, data: bytes) -> None:
        """Another member's word; one that can't be read is counted and loses nothing else."""
        try:
            home, load, words = m.read(data, sender)
        except WireError:
            self.dropped += 1
            return
        self.loads[sender] = home, load, now
        for word in words:
            self.common.hear(now, word, sender)

    def tick(self, now: float) -> None:
        """What time does; `out` and `notices` are to be emptied after it."""
        self.own.tick(now)
        self.own.out.clear()
        self.common.tick(now)
        words, self.common.out = self.common.out, []
        if self.s.judge != ALONE:
            self._say(now, words)
        if self.common.alone != self._alone and self.s.judge != ALONE:
            self._alone = self.common.alone
            self.notices.append(
                Notice(
                    "zones-alone" if self._alone else "zones-together",
                    {"member": self.me, "quorum": self.common.quorum},
                )
            )
        for zone in self.common.zones:
            state, _ = self.state(zone)
            before = self._held.get(zone, State.HEALTHY)
            if state is not before:
                self._held[zone] = state
                self.notices.append(
                    Notice(
                        "zone-state",
                        {
                            "zone": zone,
                            "state": state.name.lower(),
                            "before": before.name.lower(),
                            "term": self.common.zones[zone].term,
                            "judged": "alone" if self.alone else "common",
                        },
                    )
                )

    def state(self, zone: str) -> tuple[State, float]:
        """What holds for a zone, and since when. One that no region names is never judged."""
        if zone not in self.common.zones:
            return State.HEALTHY, -float("inf")
        return (self.own if self.alone else self.common).state(zone)

    def up(self, zone: str, now: float) -> float:
        """The share of a zone's capacity that is up."""
        if zone not in self.common.zones:
            return 1.0
        return (self.own if self.alone else self.common).up(zone, now)

    def demand(self, now: float) -> dict[str, float]:
        """Cores that the callers of each zone ask for, by the word of all members."""
        made = dict.fromkeys(self.common.zones, 0.0)
        if self.s.zone in made:
            made[self.s.zone] = self.load
        for home, load, at in self.loads.values():
            if home in made and now - at <= self.s.fresh:
                made[home] += load
        return made

    def _say(self, now: float, words: list[Ballot | Decided]) -> None:
        """At once while a vote is open or anything is new, else a few times within what counts as fresh."""
        gist = tuple((w.zone, w.term, w.state) for w in words)
        open_ = any(isinstance(w, Ballot) and w.state is not None for w in words)
        if open_ or gist != self._said or now - self._said_at >= self.s.fresh / 3:
            self._said, self._said_at = gist, now
            self.out += m.pack(self.s.zone, self.load, words)

    def rows(self, now: float) -> list[dict[str, Any]]:
        """For operators: each zone."""
        demand, region = self.demand(now), self.s.region_of
        made = []
        for zone, z in self.common.zones.items():
            state, since = self.state(zone)
            votes = {
                name: b.state.name.lower()
                for name, (b, at) in sorted(z.ballots.items())
                if b.state is not None and b.term > z.term and now - at <= self.s.fresh
            }
            made.append(
                {
                    "zone": zone,
                    "region": region[zone],
                    "state": state.name.lower(),
                    "term": z.term,
                    "since_ms": round(now - since) if since > -1e300 else None,
                    "up": self.up(zone, now),
                    "load_cores": round(demand[zone], 2),
                    "votes": votes,
                    "home": zone == self.s.zone,
                }
            )
        return made
