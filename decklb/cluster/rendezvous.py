"""Which member owns which duty: weighted rendezvous hashing over those that may own (free of I/O).

Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit Rates" (1998); weights after Schindelhauer and
Schomaker (2005): each member scores each duty with -weight / ln(u), u being a hash of both in (0, 1), and the highest
owns it. So a member that goes loses only its own duties, and one that comes takes only its share.

Scores depend on names alone, not on who is alive, so the best few of each duty are kept and walked through.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left
from collections.abc import Collection, Iterable, Mapping

import xxhash

SAME = 1000.0  # ms
KEEP = 8  # best members kept of each duty


def _score(seed: int, weight: float, duty: str) -> float:
    return -weight / math.log((xxhash.xxh64_intdigest(duty.encode(), seed) + 0.5) / 18446744073709551616.0)


class Ranking:
    """The best members of each duty, among all members that are known, alive or not."""

    def __init__(self, kind: str = "", keep: int = KEEP) -> None:
        """Duties of different kinds on one subject have owners of their own."""
        self.kind, self.keep = kind, keep
        self.weights: dict[str, float] = {}
        self._seeds: dict[str, int] = {}
        self._best: dict[str, list[tuple[float, str]]] = {}  # highest score last
        self._of: dict[str, set[str]] = {}  # duties among whose best a member is
        # Duties whose best a member is, with the names of all their best; made when it is asked for.
        self._leads: dict[str, list[tuple[str, tuple[str, ...]]]] | None = None

    def __contains__(self, duty: str) -> bool:
        return duty in self._best

    def duties(self) -> Collection[str]:
        """All of them."""
        return self._best.keys()

    def add(self, member: str, weight: float) -> None:
        """A member, or its new weight: one hash a duty."""
        if self.weights.get(member) == weight:
            return
        if member in self.weights:
            self.remove(member)
        self.weights[member] = weight
        self._leads = None
        seed = self._seeds[member] = xxhash.xxh64_intdigest(f"{self.kind}/{member}".encode())
        mine = self._of[member] = set()
        for duty, best in self._best.items():
            pair = (_score(seed, weight, duty), member)
            if len(best) < self.keep or pair > best[0]:
                best.insert(bisect_left(best, pair), pair)
                mine.add(duty)
                if len(best) > self.keep:
                    _, last = best.pop(0)
                    self._of[last].discard(duty)

    def remove(self, member: str) -> None:
        """A member that has been forgotten: its duties' best are sought anew."""
        if self.weights.pop(member, None) is None:
            return
        del self._seeds[member]
        self._leads = None
        for duty in self._of.pop(member):
            for _, name in self._best[duty]:
                if name != member:
                    self._of[name].discard(duty)
            self._seek(duty)

    def _seek(self, duty: str) -> None:
        scored = ((_score(seed, self.weights[name], duty), name) for name, seed in self._seeds.items())
        self._best[duty] = heapq.nlargest(self.keep, scored)[::-1]
        for _, name in self._best[duty]:
            self._of[name].add(duty)

    def set_duties(self, duties: Iterable[str]) -> None:
        """These and no others."""
        wanted = set(duties)
        if wanted == self._best.keys():
            return
        self._leads = None
        for duty in [d for d in self._best if d not in wanted]:
            for _, name in self._best.pop(duty):
                self._of[name].discard(duty)
        for duty in wanted - self._best.keys():
            self._seek(duty)

    def owner(self, duty: str, able: Collection[str], passed: Collection[str] = ()) -> str | None:
        """The best of those able that are not passed over; where all are, the best of those able."""
        best = self._best[duty]
        for _, name in reversed(best):
            if name in able and name not in passed:
                return name
        pool = [n for n in able if n in self._seeds and n not in passed] or [n for n in able if n in self._seeds]
        if not pool:
            return None
        return max(pool, key=lambda n: (_score(self._seeds[n], self.weights[n], duty), n))

    def mine(self, me: str, able: Collection[str], passed: Mapping[str, Collection[str]]) -> set[str]:
        """The duties that `me` owns: only those among whose best it is are walked through, as far as that tells."""
        if me not in able or me not in self.weights:
            return set()
        found = set()
        for duty in self._of[me]:
            for _, name in reversed(self._best[duty]):
                if name in able:
                    if name == me:
                        found.add(duty)
                    break
        away = [n for n in self.weights if n not in able]
        if len(away) >= self.keep:  # all of a duty's best may be away
            leads, here = self._led(), frozenset(able)
            for name in away:
                for duty, names in leads.get(name, ()):
                    if here.isdisjoint(names) and self.owner(duty, here) == me:
                        found.add(duty)
        for duty, those in passed.items():
            if duty in self._best:
                (found.add if self.owner(duty, able, those) == me else found.discard)(duty)
        return found

    def _led(self) -> dict[str, list[tuple[str, tuple[str, ...]]]]:
        if self._leads is None:
            self._leads = {}
            for duty, best in self._best.items():
                if best:
                    self._leads.setdefault(best[-1][1], []).append((duty, tuple(n for _, n in best)))
        return self._leads


class Lamport:
    """A logical clock (Lamport, 1978) that rides on every datagram: what is taken later has a higher term."""

    def __init__(self, value: int = 0) -> None:
        self.value = value

    def hear(self, value: int) -> None:
        """Another member's time."""
        self.value = max(self.value, value)

    def term(self) -> int:
        """A new term, above all that have been heard of."""
        self.value += 1
        return self.value


class Passed:
    """Who can't do which duty, by their own word, and until when."""

    def __init__(self) -> None:
        self._until: dict[str, dict[str, float]] = {}

    def add(self, duty: str, member: str, until: float) -> bool:
        """True if that is news."""
        members = self._until.setdefault(duty, {})
        if members.get(member, -math.inf) >= until - SAME:  # the same word again, by another clock
            return False
        members[member] = until
        return True

    def now(self, now: float) -> dict[str, set[str]]:
        """Those that still hold, by duty."""
        for duty, members in list(self._until.items()):
            for member in [m for m, until in members.items() if until <= now]:
                del members[member]
            if not members:
                del self._until[duty]
        return {duty: set(members) for duty, members in self._until.items()}

    def of(self, duty: str, now: float) -> set[str]:
        """Those that still hold for one duty."""
        return {m for m, until in self._until.get(duty, {}).items() if until > now}

    def by(self, member: str, now: float) -> list[tuple[str, float]]:
        """One member's own words that still hold, with how many ms are left of each."""
        return [
            (duty, members[member] - now) for duty, members in self._until.items() if members.get(member, 0.0) > now
        ]

    def forget(self, away: Collection[str]) -> None:
        """Members that are away own nothing, and come back without a memory: their words go."""
        for members in self._until.values():
            for name in [n for n in members if n in away]:
                del members[name]

    def next(self) -> float:
        """When the first of them ends; infinity for none."""
        return min((t for members in self._until.values() for t in members.values()), default=float("inf"))
