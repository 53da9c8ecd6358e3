"""One instance of the cluster, whole but for its I/O: datagrams and time go in, datagrams and duties to run come out.

The daemon drives it with sockets, the lab with a simulated network. Both call `receive`, `tick` (no later than `due`)
and `ended`, and then empty `out`, `starts`, `probed` and `notices`.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from decklb.cluster import messages as m
from decklb.cluster.duties import Duties, Start
from decklb.cluster.errors import WireError
from decklb.cluster.events import MembershipEvents
from decklb.cluster.member import Address, LocalMember, Member
from decklb.cluster.membership import Membership
from decklb.cluster.messages import DutyDecline, DutyResult, HealthStatus, MemberState, Message, UserMessage
from decklb.cluster.rendezvous import Lamport, Ranking
from decklb.cluster.sealing import Replays, Sealer
from decklb.cluster.settings import DutySettings, MembershipSettings
from decklb.cluster.timers import Timer, TimerQueue
from decklb.cluster.verdicts import AGAIN, Verdicts

# Probe intervals by which a timer may be late before this process takes itself for stalled.
STALL_INTERVALS = 2.0

STATES = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspect",
    MemberState.DEAD: "dead",
    MemberState.LEFT: "left",
}


@dataclass(slots=True)
class Notice:
    """Something that operators read in the log."""

    event: str
    fields: dict[str, Any] = field(default_factory=dict)


class Node:
    """Membership, ownership, duties of any kinds and what is held of their subjects, behind one door."""

    def __init__(
        self,
        membership: MembershipSettings,
        duties: Collection[DutySettings],
        name: str,
        address: Address,
        sealer: Sealer,
        rng: random.Random,
        now: float,
        wall: float,
        rankings: Mapping[str, Ranking] | None = None,
    ) -> None:
        """`now` is a monotonic clock, `wall` Unix time, both in ms. Rankings, one a kind, may be shared where many
        nodes are tried in one process: they depend on names alone."""
        self.s, self.sealer, self.rng = membership, sealer, rng
        self.out: list[tuple[Address, bytes]] = []
        self.starts: list[Start] = []
        self.probed: list[tuple[str, str, bool]] = []  # kind, subject, whether it is up
        self.notices: list[Notice] = []
        self.cargo: list[tuple[str, str, bytes]] = []  # topic, sender, data
        self.dropped: Counter[str] = Counter()  # datagrams that could not be opened or read, by reason
        self.sent_bytes = self.sent = self.received = 0
        self._wall = wall - now
        self._seq = 0
        self._window = Replays(membership.max_clock_skew_ms)
        self.timers, self.lamport = TimerQueue(now), Lamport()
        # The older run has the lower number, and no two have the same.
        boot = (int(wall) << 10 | rng.getrandbits(10)) & ((1 << 53) - 1)
        local = LocalMember(name, address, int(wall), boot, False, membership.weight, MemberState.ALIVE, now)
        events = MembershipEvents(self._changed, self._conflict, self._ready)
        self.membership = Membership(membership, local, rng, self.timers, self._post, events)
        self.listed: dict[str, Collection[str]] = {}  # by kind: subjects of which verdicts count
        self._review: Timer | None = None
        self.books: dict[str, Duties] = {}  # by kind
        for duty in duties:
            ranking = (rankings or {}).get(duty.kind) or Ranking(duty.kind)
            ranking.add(name, membership.weight)
            self.books[duty.kind] = Duties(
                duty,
                name,
                ranking,
                Verdicts(duty),
                self.lamport,
                self.timers,
                self.wall,
                self.starts.append,
                self._tell,
            )
        if self.books:
            self.timers.call_at(now + AGAIN * rng.random(), self._effects)

    def wall(self, now: float) -> float:
        """Unix time in ms at a moment of the monotonic clock."""
        return now + self._wall

    # Driven from outside.

    def start(self, now: float, seeds: Collection[Address]) -> None:
        """Look for the others."""
        self.membership.start(now, seeds)

    def due(self) -> float:
        """When `tick` is to be called next."""
        return self.timers.next_due()

    def tick(self, now: float, wall: float) -> None:
        """What is due by now."""
        self._wall = wall - now
        late = now - self.timers.next_due()
        if late > STALL_INTERVALS * self.s.probe_interval_ms:
            # Stopped, swapped out or starved: nothing that was missed meanwhile speaks against others.
            self.membership.on_stall(late)
            self.notices.append(Notice("held-up", {"late_ms": round(late)}))
        self.timers.now = now
        self.timers.run_due(now)

    def receive(self, now: float, wall: float, data: bytes, address: Address) -> None:
        """A datagram. What can't be opened or read is counted and dropped, and never answered."""
        self._wall = wall - now
        try:
            envelope = m.decode_envelope(self.sealer.open(data))
            if envelope.sender == self.membership.local.name and envelope.run_id == self.membership.local.run_id:
                raise WireError("own")
            self._window.check(envelope, wall)
        except WireError as error:
            self.dropped[error.reason] += 1
            return
        self.received += 1
        self.timers.now = now
        self.lamport.hear(envelope.lamport_time)
        self.membership.handle(now, envelope.sender, envelope.run_id, address, envelope.messages)
        for message in envelope.messages:
            if isinstance(message, DutyResult) and (book := self.books.get(message.kind)) is not None:
                if book.heard(now, message):
                    self._spread(message)
            elif (
                isinstance(message, DutyDecline)
                and (book := self.books.get(message.kind)) is not None
                and book.disclaimed(now, message)
            ):
                self._spread(message)
            elif isinstance(message, UserMessage):
                self.cargo.append((message.topic, envelope.sender, message.payload))

    def carry(self, now: float, topic: str, data: bytes, to: str = "") -> None:
        """Tell a member, or all others that are not known to be gone. Each goes in a datagram of its own: a member of
        an older version refuses it whole, and must lose nothing else by that."""
        self.timers.now = now
        if not self.membership.local.is_yielding:
            packed = m.encode_message(UserMessage(topic, data))
            for name in self.membership.live_names() if not to else [to] if to in self.membership.members else []:
                self._send(self.membership.members[name].address, [packed])

    def known(self) -> list[str]:
        """All members that have not left, dead ones for a while too."""
        return [x.name for x in self.membership.members.values() if x.state != MemberState.LEFT]

    def ended(self, now: float, kind: str, subject: str, ok: bool) -> None:
        """A duty that `starts` asked for has been run."""
        self.timers.now = now
        self.books[kind].ended(now, subject, ok)

    def subjects(self, now: float, kind: str, cold: Mapping[str, float], listed: Collection[str]) -> None:
        """All subjects of a kind, until when (wall clock) each is cold, and those of which verdicts count: of engines
        those that the list calls up."""
        self.listed[kind] = frozenset(listed)
        self.timers.now = now
        self.books[kind].subjects(now, cold)

    def rekey(self, sealer: Sealer) -> None:
        """Another ring, or the same with another salt."""
        self.sealer = sealer

    def leave(self, now: float) -> None:
        """Own nothing from now on, and say so."""
        self.timers.now = now
        self.membership.leave(now)
        for book in self.books.values():
            book.review(now, (), False)

    # Inside.

    def _post(self, address: Address, messages: Sequence[Message], *, piggyback: bool) -> None:
        if self.membership.local.is_yielding:  # whoever has the name speaks for it
            return
        room = m.message_capacity(self.membership.local.name)
        body: list[bytes] = []
        left = room
        for message in map(m.encode_message, messages):
            if len(message) > left or len(body) >= m.MAX_MESSAGES:
                self._send(address, body)
                body, left = [], room
            body.append(message)
            left -= len(message)
        if piggyback:
            body += self.membership.gossip.take(left)[: m.MAX_MESSAGES - len(body)]
        if body:
            self._send(address, body)

    def _send(self, address: Address, body: list[bytes]) -> None:
        local = self.membership.local
        self._seq += 1
        data = self.sealer.seal(
            m.encode_envelope(
                local.name, local.run_id, self._seq, max(0, int(self.wall(self.timers.now))), self.lamport.value, body
            )
        )
        self.sent += 1
        self.sent_bytes += len(data)
        self.out.append((address, data))

    def _tell(self, message: DutyResult | DutyDecline) -> None:
        """News of our own duties, which holds here as it does elsewhere."""
        now, book = self.timers.now, self.books[message.kind]
        if isinstance(message, DutyResult):
            if book.heard(now, message):
                self._spread(message)
                self.notices.append(
                    Notice(
                        "duty-result",
                        {
                            "kind": message.kind,
                            "subject": message.subject,
                            "term": message.term,
                            "up": message.status != HealthStatus.DOWN,
                        },
                    )
                )
        else:  # said again now and then, for those that came later
            if book.disclaimed(now, message):
                self.notices.append(
                    Notice(
                        "duty-handed-on", {"kind": message.kind, "subject": message.subject, "rest_ms": message.hold_ms}
                    )
                )
            self._spread(message)

    def _spread(self, message: DutyResult | DutyDecline) -> None:
        subject = (message.kind, message.subject, "" if isinstance(message, DutyResult) else message.declined_by)
        self.membership.gossip.broadcast(subject, message)

    def _changed(self, now: float, member: Member, before: MemberState | None) -> None:
        for book in self.books.values():
            book.ranking.add(member.name, member.weight)
        if before != member.state:
            self.notices.append(
                Notice(
                    "member",
                    {
                        "member": member.name,
                        "state": STATES[member.state],
                        "before": "unknown" if before is None else STATES[before],
                        "life": member.incarnation,
                    },
                )
            )
        self.schedule_review(now)

    def _ready(self, now: float) -> None:
        self.notices.append(Notice("settled", {"members": self.membership.table.live_count}))
        self.schedule_review(now)

    def _conflict(self, now: float, address: Address, yielding: bool) -> None:
        self.notices.append(
            Notice(
                "name-conflict",
                {"member": self.membership.local.name, "yields": yielding, "other": f"{address[0]}:{address[1]}"},
            )
        )
        self.schedule_review(now)

    def schedule_review(self, now: float) -> None:
        """Look at the owners again, soon: changes come in bursts, and one look at all moves each duty at most once."""
        if self._review is None:
            self._review = self.timers.call_at(now + 2 * self.s.gossip_interval_ms, self._review_now)

    def _review_now(self, now: float) -> None:
        self._review = None
        able, minority, known = (
            self.membership.eligible_owners(),
            self.membership.in_minority(now),
            self.membership.members,
        )
        for book in self.books.values():
            book.review(now, able, minority)
            for name in [n for n in book.ranking.weights if n not in known]:
                book.ranking.remove(name)

    def _effects(self, now: float) -> None:
        for kind, book in self.books.items():
            surge = book.verdicts.surge
            self.probed += [
                (kind, subject, up) for subject, up in book.verdicts.effects(now, self.listed.get(kind, ()))
            ]
            if (surge is None) != (book.verdicts.surge is None):
                self.notices.append(Notice("all-down-doubted" if surge is None else "all-down-over", {"kind": kind}))
        self.timers.call_at(now + AGAIN / 4, self._effects)

    # For operators.

    def members(self, now: float) -> list[dict[str, Any]]:
        """All members as this instance sees them."""
        view = self.membership
        return [
            {
                "name": x.name,
                "address": f"{x.address[0]}:{x.address[1]}",
                "state": STATES[x.state],
                "life": x.incarnation,
                "settled": x.ready,
                "weight": x.weight,
                "since_ms": max(0, round(now - x.state_since)),
                "self": x is view.local,
            }
            for x in sorted(view.members.values(), key=lambda x: x.name)
        ]

    def duty_rows(self, now: float) -> list[dict[str, Any]]:
        """All duties: owner by this instance's view, term, last result and its age in ms.

        Of duties of others only what is out of the ordinary is told between members: `up` is then None.
        """
        return [row for book in self.books.values() for row in book.rows(now)]

    def health(self) -> dict[str, Any]:
        """Counters."""
        view = self.membership
        made: dict[str, Any] = {
            "doubt": view.health.score,
            "probes": view.counters.probes,
            "failed_probes": view.counters.failed_probes,
            "refuted": view.counters.refutations,
            "held_up": view.counters.stalls,
            "conflicts": view.counters.name_conflicts,
            "sent": self.sent,
            "sent_bytes": self.sent_bytes,
            "received": self.received,
            "dropped": dict(self.dropped),
            "news": len(view.gossip.queue),
            "minority": view.in_minority(self.timers.now),
            "yielding": view.local.is_yielding,
        }
        made["duties"] = {kind: book.health() for kind, book in self.books.items()}
        return made
