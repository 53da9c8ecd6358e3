"""One value that the members agree on, changed by whoever has a change to make (free of I/O).

Rystsov: "CASPaxos: Replicated State Machines without logs" (2018). A proposer asks a majority for the newest value that
each has accepted, under a ballot above all that they promised; applies its change to the newest; and has a majority
accept the result under the same ballot. So changes form one line, whoever proposes them: none is lost, and none is made
to a value that another change has replaced. No leader is needed for that; one that changes alone is only quicker.

A member that restarts has forgotten what it promised. It answers nobody until proposals that count on its former
promises are over and it has read a majority of the others, or all of them: else a change could be lost. Where so many
restart at once that no majority remembers, what only they had accepted is lost with them.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from msgspec import Struct

from decklb.maintenance.errors import NoMajority

V = TypeVar("V")
UNSURE = 10.0  # times `patience` for which an accepted value may wait for word that it is agreed on
LONGEST = 8.0  # times `patience` that one try of a proposal may last
Ballot = tuple[int, str]  # a number and the proposer: no two proposals have the same
NONE: Ballot = (0, "")
Memory = tuple[Ballot, tuple[Ballot, bytes]]  # what a member must not forget: promised; accepted, with the value


class Prepare(Struct, array_like=True, tag=1, frozen=True):
    """Promise to take nothing below this ballot, and say what you have."""

    ballot: Ballot


class Promise(Struct, array_like=True, tag=2, frozen=True):
    """Done; `value` is what was accepted under `accepted`, packed."""

    ballot: Ballot
    accepted: Ballot
    value: bytes


class Accept(Struct, array_like=True, tag=3, frozen=True):
    """Take this value."""

    ballot: Ballot
    value: bytes


class Accepted(Struct, array_like=True, tag=4, frozen=True):
    """Taken."""

    ballot: Ballot


class Refused(Struct, array_like=True, tag=5, frozen=True):
    """A higher ballot was promised, or the member remembers nothing yet (`ballot` is then its asker's)."""

    ballot: Ballot
    promised: Ballot


class Settled(Struct, array_like=True, tag=6, frozen=True):
    """A majority has this."""

    ballot: Ballot
    value: bytes


class Read(Struct, array_like=True, tag=7, frozen=True):
    """What do you have? Asked by a member that starts; promises nothing."""

    nonce: int


class Held(Struct, array_like=True, tag=8, frozen=True):
    """The answer; from one that starts itself (`memory` false) it only says that nothing is known there."""

    nonce: int
    promised: Ballot
    accepted: Ballot
    value: bytes
    memory: bool


Message = Prepare | Promise | Accept | Accepted | Refused | Settled | Read | Held


@dataclass(slots=True)
class Proposal(Generic[V]):
    """A change under way."""

    change: Callable[[V], V]
    done: Callable[[V | Exception], None]
    until: float
    ballot: Ballot = NONE
    started: float = 0.0
    wait: float = 0.0
    promises: dict[str, Promise] = field(default_factory=dict)
    accepted: set[str] = field(default_factory=set)
    value: bytes | None = None  # what the change made
    made: V | None = None


class Register(Generic[V]):
    """One member. `out` gathers (member, message); "" goes to all others. `settled` is the newest value known to be
    agreed on."""

    def __init__(
        self,
        me: str,
        first: V,
        pack: Callable[[V], bytes],
        read: Callable[[bytes], V],
        members: int,
        patience: float,
        rng: random.Random,
        now: float,
        memory: Memory | None = None,
        keep: Callable[[Memory], bool] = lambda memory: True,
    ) -> None:
        """`keep` is told what must not be forgotten before any word rests on it, and says whether it is kept; `memory`
        is what was, by this member's process before."""
        self.me, self.members, self.patience, self.rng = me, members, patience, rng
        self.pack, self.read = pack, read
        self.first = first
        self.settled, self.settled_at = first, NONE
        self.promised: Ballot = NONE
        self.accepted: tuple[Ballot, bytes] = (NONE, b"")
        self.keep = keep
        self.out: list[tuple[str, Message]] = []
        self.forgetful = members > 1 and memory is None
        if memory is not None:
            self.promised, self.accepted = memory
        # When to ask of a value accepted here that is not known to be agreed on; soon after a start.
        self._unsure_until = float("inf") if memory is None else now + patience * (1 + rng.random())
        self._reads_from = now + 1.1 * LONGEST * patience  # by then no try lives that began before
        self._nonce = rng.getrandbits(48)
        self._helds: dict[str, Held] = {}
        self._asked = -float("inf")
        self._queue: list[Proposal[V]] = []
        self._pace = 1.0  # times `patience` that a try waits, doubled by each in vain and halved by each that is done
        self._highest = 0
        self._own: list[Promise | Accepted | Refused] = []  # answers of this member to itself

    @property
    def quorum(self) -> int:
        """How many members decide, this one included."""
        return self.members // 2 + 1

    def propose(
        self, change: Callable[[V], V], done: Callable[[V | Exception], None], until: float = float("inf")
    ) -> None:
        """Make a change; `done` is told the value agreed on, or what `change` raised. It may be called more than once,
        each time on the value that is newest then. Past `until` it is given up (NoMajority): it may be done or not."""
        self._queue.append(Proposal(change, done, until))

    @property
    def busy(self) -> bool:
        """Whether an own change is under way."""
        return bool(self._queue)

    @property
    def newest(self) -> V:
        """What is accepted here: it may come to be agreed on, or is already and this member has not heard of it."""
        return self.read(self.accepted[1]) if self.accepted[0] > self.settled_at else self.settled

    def tick(self, now: float) -> None:
        """What time does; to be called a few times within `patience`."""
        if self.forgetful and now >= self._reads_from and now - self._asked >= self.patience / 2:
            self._asked = now
            self.out.append(("", Read(self._nonce)))
        self._ask_of_unsure(now)
        for p in [p for p in self._queue if now > p.until]:
            self._queue.remove(p)
            p.done(NoMajority())
        if self._queue and not self.forgetful:
            p = self._queue[0]
            if p.ballot == NONE:
                self._begin(now, p)
            elif now - p.started >= p.wait:
                # Answers that are slower than a try would always come to a ballot that is given up already.
                self._pace = min(2 * self._pace, LONGEST / 2)
                self._begin(now, p)

    def _ask_of_unsure(self, now: float) -> None:
        """A value that was accepted here and of which nothing more was heard: its proposer may have died before it told
        anybody, or all members at once. A change of nothing finds out what stands."""
        if self.accepted[0] <= self.settled_at or self.forgetful:
            self._unsure_until = float("inf")
        elif self._unsure_until == float("inf"):
            self._unsure_until = now + UNSURE * self.patience * (1 + self.rng.random())
        elif now >= self._unsure_until and not self._queue:
            self._unsure_until = float("inf")
            self.propose(lambda value: value, lambda value: None, now + LONGEST * self.patience)

    def hear(self, now: float, sender: str, message: Message) -> None:
        """Another member's word."""
        match message:
            case Prepare():
                self._on_prepare(sender, message)
            case Accept():
                self._on_accept(sender, message)
            case Read():
                self.out.append((sender, Held(message.nonce, self.promised, *self.accepted, not self.forgetful)))
            case Held():
                self._on_held(sender, message)
            case Settled():
                self._settle(message.ballot, message.value)
            case Promise() | Accepted() | Refused():
                # One held up for long may not go on with promises of members that have restarted since.
                if (
                    self._queue
                    and self._queue[0].ballot == message.ballot
                    and now - self._queue[0].started < self._queue[0].wait
                ):
                    self._on_answer(now, sender, message, self._queue[0])

    # As acceptor.

    def _on_prepare(self, sender: str, m: Prepare) -> None:
        self._highest = max(self._highest, m.ballot[0])
        if self.forgetful or m.ballot <= self.promised or not self.keep((m.ballot, self.accepted)):
            return self._refuse(sender, m.ballot)
        self.promised = m.ballot
        self._answer(sender, Promise(m.ballot, *self.accepted))

    def _on_accept(self, sender: str, m: Accept) -> None:
        if self.forgetful or m.ballot < self.promised or not self.keep((m.ballot, (m.ballot, m.value))):
            return self._refuse(sender, m.ballot)
        self.promised, self.accepted = m.ballot, (m.ballot, m.value)
        self._answer(sender, Accepted(m.ballot))

    def _refuse(self, sender: str, ballot: Ballot) -> None:
        self._answer(sender, Refused(ballot, ballot if self.forgetful else self.promised))

    def _answer(self, to: str, message: Promise | Accepted | Refused) -> None:
        if to == self.me:
            self._own.append(message)
        else:
            self.out.append((to, message))

    # As proposer.

    def _begin(self, now: float, p: Proposal[V]) -> None:
        self._highest = max(self._highest, self.promised[0]) + 1
        p.ballot, p.started = (self._highest, self.me), now
        # Two that propose at once would outbid each other for good; chance parts them.
        p.wait = self.patience * self._pace * (1 + self.rng.random())
        p.promises.clear()
        p.accepted.clear()
        p.value = None
        self.out.append(("", Prepare(p.ballot)))
        self._self(now, Prepare(p.ballot), p)

    def _self(self, now: float, message: Prepare | Accept, p: Proposal[V]) -> None:
        """This member is an acceptor too; its word needs no datagram."""
        if isinstance(message, Prepare):
            self._on_prepare(self.me, message)
        else:
            self._on_accept(self.me, message)
        own, self._own = self._own, []
        for answer in own:
            self._on_answer(now, self.me, answer, p)

    def _on_answer(self, now: float, sender: str, m: Promise | Accepted | Refused, p: Proposal[V]) -> None:
        if isinstance(m, Refused):
            if m.promised > p.ballot:
                self._highest = max(self._highest, m.promised[0])
                p.promises.clear()  # this ballot can't win any more
                p.wait = min(p.wait, now - p.started + p.wait / 4)
        elif isinstance(m, Promise):
            p.promises[sender] = m
            if p.value is None and len(p.promises) >= self.quorum:
                self._apply(now, p)
        elif p.value is not None:
            p.accepted.add(sender)
            if len(p.accepted) >= self.quorum:
                self._done(p)

    def _apply(self, now: float, p: Proposal[V]) -> None:
        newest = max(p.promises.values(), key=lambda x: x.accepted)
        before = self.read(newest.value) if newest.accepted != NONE else self.first
        try:
            p.made = p.change(before)
        except Exception as error:  # the operator's fault, told to the operator; nothing is proposed
            self._queue.pop(0)
            return p.done(error)
        p.value = self.pack(p.made)
        self.out.append(("", Accept(p.ballot, p.value)))
        self._self(now, Accept(p.ballot, p.value), p)

    def _done(self, p: Proposal[V]) -> None:
        assert p.value is not None and p.made is not None
        self._queue.pop(0)
        self._pace = max(1.0, self._pace / 2)
        self._settle(p.ballot, p.value)
        self.out.append(("", Settled(p.ballot, p.value)))
        p.done(p.made)

    def _settle(self, ballot: Ballot, value: bytes) -> None:
        if ballot > self.settled_at:
            self.settled, self.settled_at = self.read(value), ballot

    # After a start.

    def _on_held(self, sender: str, m: Held) -> None:
        if not self.forgetful or m.nonce != self._nonce:
            return
        self._helds[sender] = m
        # What this member promised in its life before, it promised to a proposer of a majority; with a majority of the
        # others the highest of all is known, as any two majorities share a member that has not forgotten.
        knowing = [h for h in self._helds.values() if h.memory]
        if len(knowing) >= self.quorum or len(self._helds) >= self.members - 1:
            self.promised = max([self.promised, *(h.promised for h in knowing)])
            newest = max(knowing, key=lambda h: h.accepted, default=None)
            if newest is not None and newest.accepted > self.accepted[0]:
                self.accepted = newest.accepted, newest.value
            self._highest = max(self._highest, self.promised[0])
            self.forgetful = not self.keep((self.promised, self.accepted))
