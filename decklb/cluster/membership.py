"""Who is in the cluster and who is alive: SWIM with suspicion and Lifeguard's local health, free of I/O.

Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (2002).
Beyond it, members compare sums of what they know in pairs, also with those they hold dead, so that parted sides meet.

Times are milliseconds. Datagrams come in by `handle`, go out by the `post` that is given; timers are the caller's.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from functools import lru_cache

import xxhash

from decklb.cluster.broadcast_queue import News, times
from decklb.cluster.messages import (
    Ack,
    Alive,
    BucketRequest,
    Dead,
    Digest,
    InSync,
    MemberRecord,
    MemberState,
    Message,
    Nack,
    Ping,
    PingRequest,
    Suspect,
    encode_message,
)
from decklb.cluster.settings import MembershipSettings
from decklb.cluster.suspicion import Awareness, Suspicion
from decklb.cluster.timers import Timer, Timers

Address = tuple[str, int]
Post = Callable[[Address, list[bytes], bool], None]  # to whom, messages, whether news may ride along

BUCKETS = 64  # of the sums that members compare
MOST_DOUBTS = 32  # members asked to refute after one exchange
RIVAL = 3  # words of another run under our own name after which it must be alive
MOST_ASKED = 4096  # members remembered as asked of late
YIELD = 60_000.0  # ms that an instance whose name is taken waits before it tries again
LATE = 2.0  # intervals by which a timer may be late before this instance takes itself for held up


@dataclass(slots=True, eq=False)
class Member:
    """One member as this instance knows it."""

    name: str
    address: Address
    life: int
    boot: int
    ready: bool
    weight: float
    state: MemberState
    changed: float  # when its state did
    sum: int = 0  # of its row, in its bucket
    suspicion: Suspicion | None = None
    timer: Timer | None = None

    def alive(self) -> Alive:
        """As news."""
        return Alive(self.name, *self.address, self.life, self.boot, self.ready, self.weight)

    def record(self, now: float) -> MemberRecord:
        """As one row of an exchange."""
        return MemberRecord(
            self.name,
            *self.address,
            self.life,
            self.boot,
            self.ready,
            self.weight,
            self.state,
            max(0, int(now - self.changed)),
        )


class Picks:
    """A set from which to draw at random without going through it."""

    def __init__(self) -> None:
        self.items: list[str] = []
        self._at: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def __contains__(self, item: str) -> bool:
        return item in self._at

    def add(self, item: str) -> None:
        """Once."""
        if item not in self._at:
            self._at[item] = len(self.items)
            self.items.append(item)

    def discard(self, item: str) -> None:
        """If it is there."""
        at = self._at.pop(item, None)
        if at is not None:
            last = self.items.pop()
            if last != item:
                self.items[at] = last
                self._at[last] = at

    def some(self, rng: random.Random, count: int) -> list[str]:
        """At most so many, each once."""
        return rng.sample(self.items, min(count, len(self.items)))


class Rarely:
    """Lets something be done for each name once in a while; what it remembers is bounded."""

    def __init__(self, every: float) -> None:
        self.every = every  # ms
        self._last: dict[str, float] = {}

    def allows(self, name: str, now: float) -> bool:
        """True if it is time again, and then it counts as done."""
        if now - self._last.get(name, -math.inf) < self.every:
            return False
        if len(self._last) > MOST_ASKED:
            self._last.clear()
        self._last[name] = now
        return True


@lru_cache(maxsize=1 << 16)  # asked for every member at each exchange
def _bucket(name: str) -> int:
    return xxhash.xxh32_intdigest(name.encode()) % BUCKETS


@dataclass(slots=True)
class Probe:
    """The probe of a member that is under way."""

    n: int
    target: str
    acked: bool = False
    asked: int = 0
    nacks: int = 0


@dataclass(slots=True)
class Events:
    """What the rest of the program is told; each is called with the time."""

    changed: Callable[
        [float, Member, MemberState | None], None
    ]  # the member now, and its state before, if it was known
    conflict: Callable[[float, Address, bool], None] = lambda now, address, yielding: None
    ready: Callable[[float], None] = lambda now: None


@dataclass(slots=True)
class Counters:
    """For operators."""

    probes: int = 0
    failed_probes: int = 0
    refuted: int = 0
    held_up: int = 0
    conflicts: int = 0


class Membership:
    """The view of one member."""

    def __init__(
        self,
        settings: MembershipSettings,
        name: str,
        address: Address,
        boot: int,
        life: int,
        rng: random.Random,
        timers: Timers,
        post: Post,
        events: Events,
        now: float,
    ) -> None:
        """`boot` tells runs of a process apart, the lower being the older; `life` is above that of earlier runs."""
        self.s, self.rng, self.timers, self.post, self.events = settings, rng, timers, post, events
        self.me = Member(name, address, life, boot, False, settings.weight, MemberState.ALIVE, now)
        self.members: dict[str, Member] = {name: self.me}
        self.live, self.gone = Picks(), Picks()  # others: alive or suspect, and dead
        self.sums = [0] * BUCKETS
        self.news, self.awareness, self.counters = News(), Awareness(), Counters()
        self.seeds: list[Address] = []
        self.synced = self.left = self.yielding = False
        self._ring: list[str] = []
        self._probe: Probe | None = None
        self._failed = ""  # whose probe failed just now
        self._asks: dict[int, tuple[Address, int, float]] = {}  # our number: who asked, with which, until
        self._n = 0
        self._rivals: dict[int, int] = {}
        self._gossiping = False
        self._doubted, self._nudged = Rarely(settings.probe_interval_ms), Rarely(settings.probe_interval_ms)
        self.now = now  # when this instance last ran; set by whoever drives it
        self._sum(self.me)

    # What the rest asks.

    def able(self) -> set[str]:
        """Who may own duties: alive or under suspicion, and settled."""
        names = {n for n in self.live.items if self.members[n].ready}
        if self.me.ready and not (self.left or self.yielding):
            names.add(self.me.name)
        return names

    def known(self, now: float) -> int:
        """Members known lately, ourselves among them; seeds that never answered count, since they may be alive."""
        addresses = {self.me.address}
        count = 1
        for name in [*self.live.items, *self.gone.items]:
            m = self.members[name]
            addresses.add(m.address)
            count += m.state != MemberState.DEAD or now - m.changed < self.s.dead_retention_ms
        return count + sum(a not in addresses for a in self.seeds)

    def minority(self, now: float) -> bool:
        """Whether we see under half of the members known lately."""
        return 2 * (len(self.live) + 1) < self.known(now)

    # The life of this member.

    def start(self, now: float, seeds: Iterable[Address]) -> None:
        """Find the others; until then, or for the settle time, be no owner."""
        self.seeds = [a for a in seeds if a != self.me.address]
        self._tell_alive(self.me)
        self._greet()
        self.timers.at(now + self.s.probe_interval_ms * (0.5 + self.rng.random()), self._next_probe)
        self.timers.at(now + self.s.push_pull_interval_ms * (0.5 + self.rng.random()), self._exchange)
        self.timers.at(now + self.s.settle_time_ms, self._settled)
        self.timers.at(now + min(self.s.dead_retention_ms, 60_000.0), self._forget)
        self.timers.at(now + self.s.gossip_interval_ms * 2, self._again)

    def leave(self, now: float) -> None:
        """Say good-bye; nothing is owned from now on."""
        if self.left:
            return
        self.left = True
        self.me.ready = False
        piece = [encode_message(Dead(self.me.name, self.me.life, self.me.name))]
        # Said to more than one round would reach, since nobody is here to repeat it.
        for name in self.live.some(self.rng, times(self.s.retransmit_base, len(self.live) + 1)):
            self.post(self.members[name].address, piece, True)

    def held_up(self, now: float, late: float) -> None:
        """This process did not run for so long: what it missed says nothing about others."""
        self.counters.held_up += 1
        self.awareness.bad()
        self._probe = None
        for name in self.live.items:
            if (suspicion := self.members[name].suspicion) is not None:
                suspicion.start += late

    def _greet(self) -> None:
        for address in self.seeds:
            self.post(address, [self._digest()], True)

    def _again(self, now: float) -> None:
        # The first greeting may get lost, or find nobody up yet.
        if not (self.synced or self.me.ready or self.left):
            self._greet()
            self.timers.at(now + self.s.gossip_interval_ms * 4, self._again)

    def _settled(self, now: float) -> None:
        if not self.yielding:
            self._make_ready(now)

    def _heard_all(self, now: float) -> None:
        if not self.synced:
            self.synced = True
            self._make_ready(now)

    def _make_ready(self, now: float) -> None:
        if self.me.ready or self.left or self.yielding:
            return
        self.me.ready = True
        self._renew(self.me.life)
        self.events.ready(now)

    def _renew(self, heard: int) -> None:
        """A new incarnation, above what was heard of us."""
        self.me.life = max(self.me.life, heard) + 1
        self._sum(self.me)
        self._tell_alive(self.me)

    # Probing of members.

    def _next_probe(self, now: float) -> None:
        self._judge(now)
        self.timers.at(now + self.s.probe_interval_ms * self.awareness.factor, self._next_probe)
        target = self._next_target()
        if target is None or self.left:
            return
        self._n += 1
        self.counters.probes += 1
        self._probe = probe = Probe(self._n, target.name)
        messages = [encode_message(Ping(probe.n, target.name))]
        if target.state == MemberState.SUSPECT:  # Lifeguard's buddy system: it hears of the suspicion first from us
            messages.append(encode_message(Suspect(target.name, target.life, self.me.name)))
        self.post(target.address, messages, True)
        self.timers.at(now + self.s.probe_timeout_ms * self.awareness.factor, lambda t: self._ask_others(t, probe))

    def _next_target(self) -> Member | None:
        """Round robin in an order shuffled anew each time, so that each is probed within two rounds."""
        while self._ring:
            name = self._ring.pop()
            if name in self.live:
                return self.members[name]
        if not self.live:
            return None
        self._ring = list(self.live.items)
        self.rng.shuffle(self._ring)
        return self.members[self._ring.pop()]

    def _ask_others(self, now: float, probe: Probe) -> None:
        target = self.members.get(probe.target)
        if probe.acked or probe is not self._probe or target is None or self.left:
            return
        drawn = self.live.some(self.rng, self.s.indirect_probes + 1)
        others = [n for n in drawn if n != probe.target][: self.s.indirect_probes]
        probe.asked = len(others)
        for name in others:
            self.post(
                self.members[name].address, [encode_message(PingRequest(probe.n, target.name, *target.address))], True
            )
        # The direct way once more: one lost datagram should not need others.
        self.post(target.address, [encode_message(Ping(probe.n, target.name))], False)

    def _judge(self, now: float) -> None:
        """The end of a probe's interval."""
        probe, self._probe = self._probe, None
        if probe is None:
            return
        if probe.acked:
            self._failed = ""
            return self.awareness.good()
        self.counters.failed_probes += 1
        target = self.members.get(probe.target)
        # Those we asked say so when they get nothing either. Where they don't, the fault may be ours.
        self.awareness.bad(probe.asked - probe.nacks if probe.asked else 1)
        if target is None or target.name not in self.live:
            return
        # The first failure is kept to ourselves and tried again: told at once, losses would make every member hear of
        # suspicions and refutations that grow with the members, and bytes with them.
        if target.state == MemberState.ALIVE and self._failed != target.name:
            self._failed = target.name
            self._ring.append(target.name)
        else:
            self._failed = ""
            self._suspect(now, target, target.life, self.me.name)

    def _on_ask(self, now: float, sender: Address, m: PingRequest) -> None:
        self._n += 1
        mine = self._n
        self._asks[mine] = (sender, m.sequence, now + self.s.probe_interval_ms)
        self.post((m.host, m.port), [encode_message(Ping(mine, m.target))], False)
        self.timers.at(now + self.s.probe_timeout_ms, lambda t: self._no_answer(mine))
        for n in [n for n, (_, _, until) in self._asks.items() if until < now]:
            del self._asks[n]

    def _no_answer(self, mine: int) -> None:
        asked = self._asks.get(mine)
        if asked is not None:  # kept: a late answer is still passed on
            self.post(asked[0], [encode_message(Nack(asked[1]))], False)

    def _on_ack(self, n: int) -> None:
        if self._probe is not None and self._probe.n == n:
            self._probe.acked = True
        elif (asked := self._asks.pop(n, None)) is not None:
            self.post(asked[0], [encode_message(Ack(asked[1]))], False)

    # What is heard.

    def handle(self, now: float, sender: str, boot: int, address: Address, messages: list[Message]) -> None:
        """The messages of one datagram that has been opened. Kinds that are not membership's are passed over."""
        if self.left:
            return
        known = self.members.get(sender)
        if sender == self.me.name:
            if boot != self.me.boot:
                self._rival(now, boot, address)
            return
        back = self._nudge(now, sender, known, boot)
        rows = []
        for m in messages:
            match m:
                case Ping():
                    if m.target == self.me.name:
                        back.append(encode_message(Ack(m.sequence)))
                case Ack():
                    self._on_ack(m.sequence)
                case Nack():
                    if self._probe is not None and self._probe.n == m.sequence:
                        self._probe.nacks += 1
                case PingRequest():
                    self._on_ask(now, address, m)
                case Alive():
                    self._alive(now, m)
                case Suspect():
                    self._on_suspect(now, m)
                case Dead():
                    self._dead(now, m)
                case Digest():
                    self._on_digest(now, address, m)
                case InSync():
                    self._heard_all(now)
                case BucketRequest():
                    self._send_rows(now, address, set(m.buckets))
                case MemberRecord():
                    rows.append(m)
        if rows:
            self._on_rows(now, rows, address)
        if back:
            self.post(address, back, True)

    def _nudge(self, now: float, sender: str, known: Member | None, boot: int) -> list[bytes]:
        """What to ask of a sender that is not as we hold it to be; rarely, since its answer may say no more."""
        if known is not None and known.boot == boot and known.state not in (MemberState.DEAD, MemberState.SUSPECT):
            return []
        if not self._nudged.allows(sender, now):
            return []
        if known is None:
            return [encode_message(BucketRequest(bytes([_bucket(sender)])))]
        if known.boot != boot:  # another run, perhaps with a clock behind that of the one we know: it must outdo it
            return [
                encode_message(BucketRequest(bytes([_bucket(sender)]))),
                encode_message(Dead(sender, known.life, self.me.name)),
            ]
        # It lives; let it say so with a higher life.
        word = Dead if known.state == MemberState.DEAD else Suspect
        return [encode_message(word(sender, known.life, self.me.name))]

    def _alive(self, now: float, m: Alive, spread: bool = True) -> None:
        if m.name == self.me.name:
            if m.run_id != self.me.boot:
                self._rival_word(now, m)
            elif m.incarnation > self.me.life:  # our own word of before; can't be, unless a state was restored
                self._renew(m.incarnation)
            return
        known = self.members.get(m.name)
        if known is not None and m.incarnation <= known.life:
            return
        before = None if known is None else known.state
        if known is None:
            known = self.members[m.name] = Member(
                m.name, (m.host, m.port), m.incarnation, m.run_id, m.ready, m.weight, MemberState.ALIVE, now
            )
            self._ring.insert(self.rng.randint(0, len(self._ring)), m.name)
        known.address, known.life, known.boot = (m.host, m.port), m.incarnation, m.run_id
        known.ready, known.weight = m.ready, m.weight
        self._state(now, known, MemberState.ALIVE)
        if spread or before is not None:  # whom we hear of first in an exchange, others know already
            self._tell_alive(known)
        self.events.changed(now, known, before)

    def _on_suspect(self, now: float, m: Suspect) -> None:
        if m.name == self.me.name:
            if m.incarnation >= self.me.life:
                self._refute(m.incarnation)
            return
        known = self.members.get(m.name)
        if known is not None and m.incarnation >= known.life:
            self._suspect(now, known, m.incarnation, m.reported_by)

    def _suspect(self, now: float, known: Member, life: int, by: str) -> None:
        if known.state not in (MemberState.ALIVE, MemberState.SUSPECT):
            return
        if known.state == MemberState.SUSPECT and known.suspicion is not None:
            if not known.suspicion.confirm(by):
                return
        else:
            known.life = life
            self._state(now, known, MemberState.SUSPECT)
            known.suspicion = Suspicion.begin(self.s, now, len(self.live) + 1, by)
            self.events.changed(now, known, MemberState.ALIVE)
        self.news.add(known.name, encode_message(Suspect(known.name, known.life, by)))
        self._gossip_on()
        self._watch_suspect(now, known)

    def _watch_suspect(self, now: float, known: Member) -> None:
        assert known.suspicion is not None
        if known.timer is not None:
            known.timer.cancel()
        known.timer = self.timers.at(max(now, known.suspicion.ends()), lambda t: self._expired(t, known))

    def _expired(self, now: float, known: Member) -> None:
        known.timer = None
        if known.suspicion is None or known.state != MemberState.SUSPECT:
            return
        if now < known.suspicion.ends():  # it was put off meanwhile
            return self._watch_suspect(now, known)
        self._dead(now, Dead(known.name, known.life, self.me.name))

    def _dead(self, now: float, m: Dead) -> None:
        if m.name == self.me.name:
            if m.incarnation >= self.me.life:
                self._refute(m.incarnation)
            return
        known = self.members.get(m.name)
        if known is None or m.incarnation < known.life or known.state in (MemberState.DEAD, MemberState.LEFT):
            return
        before, known.life = known.state, m.incarnation
        self._state(now, known, MemberState.LEFT if m.reported_by == m.name else MemberState.DEAD)
        self.news.add(known.name, encode_message(m))
        self._gossip_on()
        self.events.changed(now, known, before)

    def _refute(self, life: int) -> None:
        self.counters.refuted += 1
        self.awareness.bad()
        self._renew(life)

    def _state(self, now: float, m: Member, state: MemberState) -> None:
        if m.state != state:
            m.changed = now
        m.state = state
        if state != MemberState.SUSPECT:
            m.suspicion = None
            if m.timer is not None:
                m.timer.cancel()
                m.timer = None
        (self.live.add if state in (MemberState.ALIVE, MemberState.SUSPECT) else self.live.discard)(m.name)
        (self.gone.add if state == MemberState.DEAD else self.gone.discard)(m.name)
        self._sum(m)

    # Two that go by our name.

    def _rival_word(self, now: float, m: Alive) -> None:
        """Someone passes on word of another run of ours: an earlier life, or one that lives beside us."""
        if m.incarnation < self.me.life or self.yielding:
            return
        # An earlier life says nothing new, so that one refutation outdoes it for good.
        self._refute(m.incarnation)
        self._rival(now, m.run_id, (m.host, m.port))

    def _rival(self, now: float, boot: int, address: Address) -> None:
        self._rivals[boot] = seen = self._rivals.get(boot, 0) + 1
        if seen < RIVAL or self.yielding:
            return
        self._rivals.clear()
        self.counters.conflicts += 1
        # Both settle it alike: the older run keeps the name.
        self.yielding = boot < self.me.boot
        if self.yielding:
            self.me.ready = False
            self.timers.at(now + YIELD, self._try_again)
            self.events.changed(now, self.me, MemberState.ALIVE)
        self.events.conflict(now, address, self.yielding)

    def _try_again(self, now: float) -> None:
        self.yielding = False
        self._renew(self.me.life)
        self._greet()
        self.timers.at(now + self.s.settle_time_ms, self._settled)

    # News.

    def _tell_alive(self, m: Member) -> None:
        if m is self.me and self.yielding:
            return
        self.news.add(m.name, encode_message(m.alive()))
        self._gossip_on()

    def tell(self, subject: Hashable, piece: bytes) -> None:
        """Spread other news in the same way."""
        self.news.add(subject, piece)
        self._gossip_on()

    def _gossip_on(self) -> None:
        if not self._gossiping:
            self._gossiping = True
            # Rounds of different members are spread.
            self.timers.at(self.now + self.s.gossip_interval_ms * self.rng.random(), self._gossip)

    def _gossip(self, now: float) -> None:
        self._gossiping = bool(self.news) and not self.left
        if not self._gossiping:
            return
        for name in self.live.some(self.rng, self.s.gossip_fanout):
            if self.news:
                self.post(self.members[name].address, [], True)
        self.timers.at(now + self.s.gossip_interval_ms, self._gossip)

    def take(self, room: int) -> list[bytes]:
        """News for a datagram with so many bytes left. Without others it is kept for whoever comes."""
        if not self.live and not self.seeds:
            return []
        return self.news.take(room, times(self.s.retransmit_base, len(self.live) + 1))

    # Exchanges in pairs.

    def _sum(self, m: Member) -> None:
        bucket = _bucket(m.name)
        state = 0 if m.state in (MemberState.ALIVE, MemberState.SUSPECT) else m.state
        fresh = xxhash.xxh32_intdigest(f"{m.name}/{m.life}/{m.boot}/{state}".encode())
        self.sums[bucket] ^= m.sum ^ fresh
        m.sum = fresh

    def _digest(self) -> bytes:
        return encode_message(Digest(b"".join(x.to_bytes(4, "big") for x in self.sums)))

    def _exchange(self, now: float) -> None:
        self.timers.at(now + self.s.push_pull_interval_ms * (0.75 + self.rng.random() / 2), self._exchange)
        if self.left:
            return
        # Also with those held dead, or parted sides would never meet again.
        names = len(self.live) + len(self.gone)
        if names:
            at = self.rng.randrange(names)
            name = self.live.items[at] if at < len(self.live) else self.gone.items[at - len(self.live)]
            self.post(self.members[name].address, [self._digest()], True)
        missing = self._missing_seeds()
        if missing:
            self.post(self.rng.choice(missing), [self._digest()], True)

    def _missing_seeds(self) -> list[Address]:
        alive = {self.members[n].address for n in self.live.items}
        return [a for a in self.seeds if a not in alive]

    def _on_digest(self, now: float, address: Address, m: Digest) -> None:
        theirs = [int.from_bytes(m.checksums[i : i + 4], "big") for i in range(0, 4 * BUCKETS, 4)]
        differ = bytes(i for i in range(BUCKETS) if theirs[i] != self.sums[i])
        if not differ:
            return self.post(address, [encode_message(InSync())], True)
        self.post(address, [encode_message(BucketRequest(differ))], True)
        self._send_rows(now, address, set(differ))

    def _send_rows(self, now: float, address: Address, buckets: set[int]) -> None:
        rows = [encode_message(m.record(now)) for m in self.members.values() if _bucket(m.name) in buckets]
        self.post(address, rows, False)

    def _on_rows(self, now: float, rows: list[MemberRecord], address: Address) -> None:
        doubts = []
        for r in rows:
            known = self.members.get(r.name)
            if r.state in (MemberState.ALIVE, MemberState.SUSPECT):
                announced = Alive(r.name, r.host, r.port, r.incarnation, r.run_id, r.ready, r.weight)
                self._alive(now, announced, spread=False)
            elif r.name == self.me.name:
                if r.incarnation >= self.me.life:  # also of an earlier run, where our clock is behind its
                    self._refute(r.incarnation)
            elif known is None:
                if r.state == MemberState.DEAD and r.state_age_ms < self.s.dead_retention_ms:
                    died = now - r.state_age_ms
                    m = self.members[r.name] = Member(
                        r.name, (r.host, r.port), r.incarnation, r.run_id, r.ready, r.weight, MemberState.DEAD, died
                    )
                    self._state(died, m, MemberState.DEAD)
            elif r.state == MemberState.LEFT and r.incarnation >= known.life:
                self._dead(now, Dead(r.name, r.incarnation, r.name))
            elif known.name in self.live and r.incarnation >= known.life:
                # Another side's word that it is dead proves nothing here: it is asked to refute, and probed as ever.
                doubts.append(known)
        for known in self.rng.sample(doubts, min(MOST_DOUBTS, len(doubts))):
            if self._doubted.allows(known.name, now):
                self.post(known.address, [encode_message(Suspect(known.name, known.life, self.me.name))], False)
        if not self.synced:  # ask once more whether that was all
            self.post(address, [self._digest()], True)

    def _forget(self, now: float) -> None:
        """Those that left, or have been dead for long."""
        self.timers.at(now + min(self.s.dead_retention_ms, 60_000.0), self._forget)
        for m in [
            m
            for m in self.members.values()
            if m.state in (MemberState.DEAD, MemberState.LEFT) and now - m.changed > self.s.dead_retention_ms
        ]:
            self.sums[_bucket(m.name)] ^= m.sum
            self.gone.discard(m.name)
            del self.members[m.name]
