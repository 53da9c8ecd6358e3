"""Assignment of duties to members: weighted rendezvous hashing over the members that may own them.

Thaler, Ravishankar: "Using Name-Based Mappings to Increase Hit Rates" (1998); weights follow Schindelhauer and
Schomaker (2005). The score of a member for a duty is -weight / ln(u), where u is a hash of both names in (0, 1); the
member with the highest score owns the duty. So when a member leaves only its own duties move, and a member that joins
takes over only its share.

Scores depend only on names and weights, not on which members are alive. So the members with the highest scores are
stored for each duty, and the owner is the first of them that is eligible. The scheduler of each kind of duty has one
ranking.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import xxhash

# Number of top-ranked members stored for each duty. The scores of the others are computed only if none of these is
# eligible.
BEST_MEMBERS = 8

HASH_RANGE = 18446744073709551616.0  # 2^64


def score(seed: int, weight: float, duty: str) -> float:
    """Return a member's score for a duty; `seed` is the hash of the member's name."""
    uniform = (xxhash.xxh64_intdigest(duty.encode(), seed) + 0.5) / HASH_RANGE
    return -weight / math.log(uniform)


class RankedMember(NamedTuple):
    """A member's score for one duty; ordered by score, then by name."""

    score: float
    name: str


class Ranking:
    """The top-ranked members for each duty, among all known members whether alive or not.

    Attributes:
        kind: kind of duty; part of the hash, so that duties of different kinds on one subject have different owners.
        best_members: number of top-ranked members stored for each duty.
        weights: weights of all known members, by name.
    """

    def __init__(self, kind: str = "", best_members: int = BEST_MEMBERS) -> None:
        self.kind = kind
        self.best_members = best_members
        self.weights: dict[str, float] = {}
        self._seeds: dict[str, int] = {}  # by member
        self._best: dict[str, list[RankedMember]] = {}  # top-ranked members by duty, highest score last
        self._ranked_duties: dict[str, set[str]] = {}  # by member: duties for which it is top-ranked
        # By member: duties for which it ranks first, each with the names of all its top-ranked members. Computed when
        # first needed after a change; None until then.
        self._first_choices: dict[str, list[tuple[str, tuple[str, ...]]]] | None = None

    def __contains__(self, duty: str) -> bool:
        return duty in self._best

    def duties(self) -> Collection[str]:
        """Return all duties."""
        return self._best.keys()

    def add_member(self, member: str, weight: float) -> None:
        """Add a member or change its weight; computes one hash per duty."""
        if self.weights.get(member) == weight:
            return
        if member in self.weights:
            self.remove_member(member)
        self.weights[member] = weight
        self._first_choices = None
        seed = self._seeds[member] = xxhash.xxh64_intdigest(f"{self.kind}/{member}".encode())
        ranked_duties = self._ranked_duties[member] = set()
        for duty, best in self._best.items():
            ranked = RankedMember(score(seed, weight, duty), member)
            if len(best) < self.best_members or ranked > best[0]:
                best.insert(bisect_left(best, ranked), ranked)
                ranked_duties.add(duty)
                if len(best) > self.best_members:
                    _, last = best.pop(0)
                    self._ranked_duties[last].discard(duty)

    def remove_member(self, member: str) -> None:
        """Remove a member; the duties for which it was top-ranked are ranked again."""
        if self.weights.pop(member, None) is None:
            return
        del self._seeds[member]
        self._first_choices = None
        for duty in self._ranked_duties.pop(member):
            for _, name in self._best[duty]:
                if name != member:
                    self._ranked_duties[name].discard(duty)
            self._rank(duty)

    def _rank(self, duty: str) -> None:
        scored = (RankedMember(score(seed, self.weights[name], duty), name) for name, seed in self._seeds.items())
        self._best[duty] = heapq.nlargest(self.best_members, scored)[::-1]
        for _, name in self._best[duty]:
            self._ranked_duties[name].add(duty)

    def set_duties(self, duties: Iterable[str]) -> None:
        """Replace the duties."""
        wanted = set(duties)
        if wanted == self._best.keys():
            return
        self._first_choices = None
        for duty in [known for known in self._best if known not in wanted]:
            for _, name in self._best.pop(duty):
                self._ranked_duties[name].discard(duty)
        for duty in wanted - self._best.keys():
            self._rank(duty)

    def owner(self, duty: str, eligible: Collection[str], declined: Collection[str] = ()) -> str | None:
        """Return the best eligible member that has not declined the duty; if all have, the best eligible member."""
        for _, name in reversed(self._best[duty]):
            if name in eligible and name not in declined:
                return name
        candidates = [name for name in eligible if name in self._seeds]
        candidates = [name for name in candidates if name not in declined] or candidates
        if not candidates:
            return None
        return max(candidates, key=lambda name: (score(self._seeds[name], self.weights[name], duty), name))

    def duties_of(self, member: str, eligible: Collection[str], declined: Mapping[str, Collection[str]]) -> set[str]:
        """Return the duties that a member owns; `declined` gives the members that have declined each duty.

        Only the duties for which the member is top-ranked are examined, unless none of a duty's top-ranked members is
        eligible.
        """
        if member not in eligible or member not in self.weights:
            return set()
        owned = set()
        for duty in self._ranked_duties[member]:
            for _, name in reversed(self._best[duty]):
                if name in eligible:
                    if name == member:
                        owned.add(duty)
                    break
        owned |= self._orphaned_duties_of(member, eligible)
        for duty, members in declined.items():
            if duty in self._best:
                (owned.add if self.owner(duty, eligible, members) == member else owned.discard)(duty)
        return owned

    def _orphaned_duties_of(self, member: str, eligible: Collection[str]) -> set[str]:
        """Return the duties that a member owns without being top-ranked, as no top-ranked member is eligible."""
        ineligible = [name for name in self.weights if name not in eligible]
        if len(ineligible) < self.best_members:
            return set()
        first_choices, eligible_names = self._duties_by_first_choice(), frozenset(eligible)
        return {
            duty
            for name in ineligible
            for duty, best in first_choices.get(name, ())
            if eligible_names.isdisjoint(best) and self.owner(duty, eligible_names) == member
        }

    def _duties_by_first_choice(self) -> dict[str, list[tuple[str, tuple[str, ...]]]]:
        if self._first_choices is None:
            self._first_choices = {}
            for duty, best in self._best.items():
                if best:
                    names = tuple(name for _, name in best)
                    self._first_choices.setdefault(best[-1].name, []).append((duty, names))
        return self._first_choices
