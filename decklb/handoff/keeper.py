"""One member's part in the handoff, whole but for its I/O: words of members and of its front go in, words to members go
out, and whoever asked is called back.

The runtime drives it with sockets, the lab with a simulated network. Both call `members`, `linked`, `unlinked`,
`receive` and `tick`, and then empty `out` and `notices`. See docs/handoff.md for the rules it keeps.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from typing import Any

from msgspec.structs import replace

from decklb.handoff import messages as m
from decklb.handoff.ballots import Ballot, quorum_of
from decklb.handoff.claims import Claim
from decklb.handoff.errors import KeyReusedError, RecordLimitError
from decklb.handoff.lease_tracker import LeaseTracker
from decklb.handoff.placement import Placement
from decklb.handoff.record_table import RecordTable
from decklb.handoff.records import Outcome, Record, Stage
from decklb.handoff.settings import HandoffSettings
from decklb.handoff.takeover_policy import TakeoverAction, claim_rank, decide_takeover
from decklb.interface import Effect

CLAIMS = 500  # claims begun in one tick
REVIEW = 1000.0  # ms between looks at all records for lost holders
AGAIN = (200.0, 600.0)  # ms before a claim that did not win is made again
LAST = "\uffff"  # sorts after every member's name
EARLY = 0.2  # of a lease: so much before its end a holder stops, for what it has out to be called off

Call = Callable[[bool], None]

REJECT_COUNTERS = {  # the last part of a counter's name, as `decklb handoff` shows it
    m.RejectReason.KEY_HELD: "taken",
    m.RejectReason.KEY_REUSED: "key-reused",
    m.RejectReason.FENCED: "fenced",
    m.RejectReason.MEMORY_TOO_SHORT: "no-memory",
    m.RejectReason.BODY_MISSING: "not-whole",
    m.RejectReason.OUT_OF_CAPACITY: "no-room",
    m.RejectReason.HOLDER_ALIVE: "holder-alive",
    m.RejectReason.TERM_TOO_LOW: "below-term",
}


@dataclass(frozen=True, slots=True)
class Taken:
    """What became of a request that a front brought. `state`: taken, running, done, refused or reused."""

    state: str
    outcome: Outcome | None = None
    answer: bytes = b""
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Notice:
    """Something that operators read in the log."""

    event: str
    key: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(slots=True)
class Hooks:
    """The front's side: `adopt` runs a request taken over; `stop` calls off one that may not be acted on now."""

    adopt: Callable[[Record, bytes], None]
    stop: Callable[[str], None]


@dataclass(slots=True)
class Hold:
    """A record held here under a term of this member's own."""

    record: Record
    since: float
    admit: Callable[[Taken], None] | None = None  # whoever brought it, until it is taken or turned away
    acked: dict[str, int] = field(default_factory=dict)  # highest version by voter
    sent: dict[str, float] = field(default_factory=dict)
    whole: set[str] = field(default_factory=set)  # voters that have the request itself
    unfit: set[str] = field(default_factory=set)  # voters that granted a higher claim or lost their memory
    waits: list[tuple[int, float, Call]] = field(default_factory=list)  # version, until when, whom to tell
    stalled: bool = False  # its lease has ended; taken up again if it is regained
    retry: float = 0.0  # when to claim it anew, where votes were lost to claims that came to nothing


@dataclass(slots=True)
class Claiming:
    """A claim that is under way."""

    claim: Claim
    since: float
    body: bytes | None


class Keeper:
    """The records of one member and its votes on others'."""

    def __init__(
        self,
        settings: HandoffSettings,
        me: str,
        run: int,
        memory: int,
        age: float,
        rng: random.Random,
        now: float,
        hooks: Hooks,
    ) -> None:
        """`run` tells runs of this process apart, as membership does; `memory` names what it remembers, which reaches
        `age` ms back: since its start, or further where it kept a store."""
        self.s, self.me, self.run, self.memory, self.rng, self.hooks = settings, me, run, memory, rng, hooks
        self.born = now - age
        self.table, self.lease, self.placement = (
            RecordTable(settings),
            LeaseTracker(settings, me),
            Placement(settings.bucket_count),
        )
        self.out: list[tuple[str, m.Message]] = []
        self.notices: list[Notice] = []
        self.counts: Counter[str] = Counter()
        self.holds: dict[str, Hold] = {}
        self.alive: dict[str, int] = {me: run}  # as membership has it
        self.view: dict[str, int] = {me: run}  # the same, with those that answer our own beats
        self.known: set[str] = {me}
        self.links: dict[str, int] = {}  # peers linked now, with the run of each
        self._memories: dict[str, int] = {}  # the same of those linked before
        self._open: dict[str, None] = {}  # keys of which a linked voter lacks the newest version
        self._claims: dict[str, Claiming] = {}
        self._orphans: dict[str, float] = {}  # keys to claim, and when
        self._floors: dict[str, int] = {}  # terms that claims of a key have to be above
        self._active: dict[str, None] = {}  # keys held here that wait for something or lack their final answer
        self._passed: dict[str, tuple[str, int, str]] = {}  # claims granted by key: former owner, term, claimer
        self._asks: dict[int, tuple[float, Callable[[Taken], None]]] = {}
        self._n = 0
        self._beat = self._reviewed = now
        self._hasty = False  # the members have changed since the last review
        self.closed = False

    # What a front calls.

    def take(self, now: float, record: Record, body: bytes, done: Callable[[Taken], None]) -> None:
        """A request with its key; `record` lacks only what this member fills in. `done` is told once."""
        key = record.key
        try:
            found = self.table.lookup(key, record.request_digest)
        except KeyReusedError:
            return done(Taken("reused"))
        if found.known:
            return self._known(now, key, record.request_digest, done)
        if self.closed or len(self.known) < self.s.fleet_size:
            return self._turn_away(done, "closed" if self.closed else "members-unknown")
        voters = self.placement.voters(key, self.s.voter_count)
        record = replace(
            record,
            holder=self.me,
            holder_incarnation=self.run,
            term=self.table.ballots.highest_term(key) + 1,
            version=0,
            voters=voters,
        )
        try:
            self.table.add(record, body)
        except RecordLimitError:
            return self._turn_away(done, "no-room")
        self._claims.pop(key, None)  # whatever was claimed under this key is gone, or it would have been found
        self._orphans.pop(key, None)
        hold = self.holds[key] = Hold(record, now, admit=done)
        if not self._fit(now, record.key_generated, 0.0):
            hold.unfit.add(self.me)
        self._wait(now, hold, lambda ok: self._admitted(key, hold, ok))
        self._spread(now, hold)

    def sending(self, now: float, key: str, engine: str, call: Call, trace: bytes = b"") -> None:
        """An attempt is to go to an engine, where `trace` calls it off. `call` is told whether it may, once a quorum
        knows of it."""
        hold = self.holds.get(key)
        if hold is None or hold.stalled or self.closed:
            return call(False)
        self._write(now, hold, hold.record.with_attempt(engine, trace))
        self._wait(now, hold, lambda ok: self._may_send(now, hold, ok, call))

    def traced(self, now: float, key: str, engine: str, trace: bytes) -> None:
        """The attempt is out on a new connection, and can be called off by this. Nobody waits for its copies."""
        hold = self.holds.get(key)
        if hold is not None and hold.record.stage is Stage.SENT and hold.record.engine == engine and not hold.stalled:
            self._write(now, hold, hold.record.with_cancel_token(trace))

    def bounced(self, now: float, key: str) -> None:
        """The attempt provably never ran."""
        hold = self.holds.get(key)
        if hold is not None and hold.record.stage is Stage.SENT:
            self._write(now, hold, hold.record.with_attempt_rejected())

    def answered(self, now: float, key: str, outcome: Outcome, answer: bytes, reason: str, call: Call) -> None:
        """The final answer is known; `call` is told whether it may be given: once a quorum has it."""
        hold = self.holds.get(key)
        if hold is None or hold.record.stage >= Stage.ANSWERED or self.closed:
            return call(False)
        self._write(now, hold, hold.record.with_answer(outcome, answer, self.s.max_answer_bytes, reason))
        self._wait(now, hold, call)

    def release(self, now: float, key: str) -> None:
        """The request was refused, so that its client may come again with its key: nothing is held of it any more."""
        if (hold := self.holds.get(key)) is not None:
            self._let_go(hold)

    def close(self) -> None:
        """Nothing is taken or answered here from now on; whoever waits is told to ask elsewhere."""
        self.closed = True
        for hold in list(self.holds.values()):
            if (done := hold.admit) is not None:
                hold.admit, hold.waits = None, []
                self._turn_away(done, "closed")
            self._stop(hold)

    # What the runtime calls.

    def members(self, now: float, alive: Mapping[str, int], known: Collection[str]) -> None:
        """Who is alive, by name with the run of each, and whom membership knows at all."""
        self.known |= set(known) | alive.keys()
        for name in sorted(self.known - set(known) - {self.me}):
            # One that is forgotten keeps its votes until the fleet is larger than the operators say.
            if len(self.known) > self.s.fleet_size:
                self.known.discard(name)
        self.placement.set_members(self.known)
        self.alive = dict(alive)
        self._look_round(now)

    def _look_round(self, now: float) -> None:
        """Whoever answers our beats lives, whatever membership says: clocks that jump, or lost datagrams, part members
        that can still talk."""
        view = self.alive | {p: run for p, run in self.links.items() if self.lease.is_current(p, now)}
        if view != self.view:
            self.view, self._hasty = view, True

    def linked(self, now: float, peer: str, memory: int, run: int) -> None:
        """A connection to a member, on which all words pass in order."""
        if self._memories.get(peer, memory) != memory:
            # It has forgotten what it acknowledged, and may have granted a claim before: its votes are void.
            self.lease.forget(peer)
            for hold in self.holds.values():
                if peer in hold.record.voters:
                    hold.unfit.add(peer)
        self.links[peer], self._memories[peer] = run, memory
        for key, (owner, term, by) in self._passed.items():
            if owner == peer != by:
                self.out.append((peer, m.Fenced(key, term, by)))
        for key, hold in self.holds.items():
            if peer in hold.record.voters:
                self._open[key] = None
                hold.sent.pop(peer, None)
        self.out.append((peer, m.Heartbeat(now)))

    def unlinked(self, now: float, peer: str) -> None:
        """The connection has ended."""
        self.links.pop(peer, None)

    def receive(self, now: float, peer: str, message: m.Message) -> None:
        """One word of a member."""
        match message:
            case m.Replicate():
                self._on_copy(now, peer, message)
            case m.ReplicateAck():
                self.lease.record_ack(peer, message.sent_at_ms)
                hold = self.holds.get(message.key)
                # A key that was let go and taken anew starts over: words on its earlier life say nothing of this one.
                if hold is not None and hold.record.term == message.term and message.sent_at_ms >= hold.since:
                    hold.acked[peer] = max(hold.acked.get(peer, -1), message.version)
                    hold.whole.add(peer)
                    self._settle(now, hold)
            case m.ReplicateReject():
                self._on_nack(now, peer, message)
            case m.Heartbeat():
                self.out.append((peer, m.HeartbeatAck(message.sent_at_ms)))
            case m.HeartbeatAck():
                self.lease.record_ack(peer, message.sent_at_ms)
            case m.Fenced():
                self._fenced(peer, message.key, (message.term, message.claimer))
            case m.ClaimRequest():
                self._on_claim(now, peer, message)
            case m.ClaimGrant():
                self._on_grant(now, peer, message)
            case m.ClaimReject():
                self._on_refusal(now, peer, message)
            case m.LookupRequest():
                self._on_ask(now, peer, message)
            case m.LookupReply():
                self._on_found(message)
            case m.Release():
                held = self.table.get(message.key)
                if (
                    held is not None
                    and (held.holder, held.holder_incarnation) == (peer, message.holder_incarnation)
                    and self.table.ballots.admits(held)
                ):
                    self.table.remove(message.key)

    def tick(self, now: float) -> None:
        """What is due; to be called each few tens of milliseconds."""
        if now - self._beat >= self.s.heartbeat_interval_ms:
            self._beat = now
            self.out += [(peer, m.Heartbeat(now)) for peer in self.links]
        self._look_round(now)
        for key in list(self._open):
            if (hold := self.holds.get(key)) is not None:
                self._resend(now, hold)
            else:
                del self._open[key]
        for key in list(self._active):
            hold = self.holds.get(key)
            if hold is None or hold.record.stage >= Stage.ANSWERED and not (hold.waits or hold.stalled):
                self._active.pop(key, None)
            if hold is not None:
                self._look(now, hold)
        for key in self.table.expire(now):
            for book in (self.holds, self._claims, self._orphans, self._passed, self._floors):
                book.pop(key, None)
        for n in [n for n, (until, _) in self._asks.items() if until <= now]:
            self._asks.pop(n)[1](Taken("running", reason="holder-silent"))
        if self._hasty or now - self._reviewed >= REVIEW:
            self._review(now)
        self._claim_due(now)

    def health(self) -> dict[str, Any]:
        """Counters, for operators."""
        return {
            "held": len(self.table),
            "own": len(self.holds),
            "bytes": self.table.bytes_retained,
            "claims": len(self._claims),
            "orphans": len(self._orphans),
            "links": len(self.links),
            "counts": dict(self.counts),
        }

    # The holder's side.

    def _may_send(self, now: float, hold: Hold, ok: bool, call: Call) -> None:
        if not ok and self.holds.get(hold.record.key) is hold:
            # It never went out; it is taken up again once a quorum is heard.
            hold.record, hold.stalled = hold.record.with_attempt_rejected(), True
            self._write(now, hold, hold.record)
            self._active[hold.record.key] = None
        call(ok)

    def _turn_away(self, done: Callable[[Taken], None], reason: str) -> None:
        self.counts[f"refused-{reason}"] += 1
        done(Taken("refused", reason=reason))

    def _admitted(self, key: str, hold: Hold, ok: bool) -> None:
        done, hold.admit = hold.admit, None
        if done is None:  # turned away meanwhile
            return
        if ok:
            self.counts["taken"] += 1
            return done(Taken("taken"))
        self._let_go(hold)
        self._turn_away(done, "no-quorum")

    def _let_go(self, hold: Hold) -> None:
        key = hold.record.key
        if self.holds.get(key) is hold:
            del self.holds[key]
            self.table.remove(key)
            self.out += [(v, m.Release(key, self.run)) for v in hold.record.voters if v in self.links]

    def _write(self, now: float, hold: Hold, record: Record) -> None:
        hold.record = record
        self.table.write(record)
        self._spread(now, hold)

    def _spread(self, now: float, hold: Hold) -> None:
        self._open[hold.record.key] = None
        hold.sent.clear()
        self._resend(now, hold)

    def _resend(self, now: float, hold: Hold) -> None:
        """The newest version to each linked voter that has not acknowledged it."""
        r, lacks = hold.record, False
        for voter in r.voters:
            if voter == self.me or voter not in self.links or hold.acked.get(voter, -1) >= r.version:
                continue
            lacks = True
            if now - hold.sent.get(voter, -float("inf")) < self.s.resend_interval_ms:
                continue
            hold.sent[voter] = now
            body = None if voter in hold.whole else self.table.body(r.key)
            # Its own address in time: what is left of the budget, never the hour.
            self.out.append(
                (
                    voter,
                    m.Replicate(
                        replace(r, deadline_ms=0.0),
                        r.deadline_ms - now,
                        now - hold.since,
                        now,
                        hold.admit is not None,
                        body,
                    ),
                )
            )
        if not lacks:
            self._open.pop(r.key, None)

    def _wait(self, now: float, hold: Hold, call: Call) -> None:
        self._active[hold.record.key] = None
        hold.waits.append((hold.record.version, now + self.s.quorum_timeout_ms, call))
        self._settle(now, hold)

    def _acting(self, now: float, hold: Hold, early: float = 0.0) -> bool:
        return self.lease.permits(hold.record, now, self.table.ballots, hold.unfit, early)

    def _committed(self, hold: Hold) -> int:
        """The newest version that a quorum has."""
        r = hold.record
        has = sorted(
            (r.version if v == self.me else hold.acked.get(v, -1) for v in r.voters if v not in hold.unfit),
            reverse=True,
        )
        need = quorum_of(r, self.s)
        return has[need - 1] if len(has) >= need else -1

    def _settle(self, now: float, hold: Hold) -> None:
        if not hold.waits:
            return
        committed = self._committed(hold)
        if committed < hold.waits[0][0] or not self._acting(now, hold):
            return
        told = [w for w in hold.waits if w[0] <= committed]
        hold.waits = [w for w in hold.waits if w[0] > committed]
        for _, _, call in told:
            call(True)

    def _look(self, now: float, hold: Hold) -> None:
        """What time does to a record held here."""
        if hold.waits:
            self._settle(now, hold)
            if late := [w for w in hold.waits if w[1] <= now]:
                hold.waits = [w for w in hold.waits if w[1] > now]
                for _, _, call in late:
                    call(False)
        if hold.admit is not None or self.holds.get(hold.record.key) is not hold:
            return
        if hold.stalled:
            key = hold.record.key
            if self._committed(hold) >= 0 and self._acting(now, hold, EARLY * self.s.lease_ms):
                self._resume(now, hold)
            elif hold.retry <= now and key not in self._claims:
                if hold.retry:
                    self._orphans.setdefault(key, now)
                hold.retry = now + 2 * self.s.lease_ms
        elif hold.record.stage < Stage.ANSWERED and not self._acting(now, hold, EARLY * self.s.lease_ms):
            hold.stalled = True
            self.counts["stalled"] += 1
            self.notices.append(Notice("handoff-lease-ended", hold.record.key, {"term": hold.record.term}))
            self._stop(hold)

    def _stop(self, hold: Hold) -> None:
        waits, hold.waits = hold.waits, []
        for _, _, call in waits:
            call(False)
        self.hooks.stop(hold.record.key)

    def _resume(self, now: float, hold: Hold) -> None:
        """This member may act on what it took over, or on what it had to leave for a while."""
        hold.stalled = False
        decision = decide_takeover(hold.record, now, self.s)
        self.counts[f"resumed-{decision.reason}"] += 1
        self.notices.append(
            Notice(
                "handoff-resumed",
                hold.record.key,
                {"step": decision.action.value, "reason": decision.reason, "term": hold.record.term},
            )
        )
        if decision.action is TakeoverAction.FAIL:
            self._write(now, hold, decision.record)
        elif decision.action in (TakeoverAction.SEND, TakeoverAction.SEND_WITH_KEY):
            body = self.table.body(hold.record.key)
            if body is None:  # an answer too large to be copied: its holder alone had the request by then
                self._let_go(hold)
            else:
                self.hooks.adopt(hold.record, body)

    def _fenced(self, peer: str, key: str, ballot: Ballot) -> None:
        """A voter granted a higher claim: it counts for this record no more."""
        hold = self.holds.get(key)
        if hold is None or ballot <= (hold.record.term, self.me):
            return
        hold.unfit.add(peer)
        if len(hold.record.voters) - len(hold.unfit) < quorum_of(hold.record, self.s):
            self._lose(hold)

    def _lose(self, hold: Hold) -> None:
        """Another holds it now, or will."""
        key = hold.record.key
        if self.holds.get(key) is hold:
            del self.holds[key]
            self.counts["lost-to-another"] += 1
            self.notices.append(Notice("handoff-fenced", key, {"term": hold.record.term}))
            self._stop(hold)
            if (done := hold.admit) is not None:
                hold.admit = None
                done(Taken("running", reason="fenced"))

    def _on_nack(self, now: float, peer: str, n: m.ReplicateReject) -> None:
        hold = self.holds.get(n.key)
        if hold is None or hold.record.term != n.term or n.sent_at_ms < hold.since:
            return
        self.counts[f"nack-{REJECT_COUNTERS[n.reason]}"] += 1
        done = hold.admit
        if n.reason == m.RejectReason.BODY_MISSING:
            hold.whole.discard(peer)
            hold.sent.pop(peer, None)
        elif n.reason == m.RejectReason.FENCED and done is not None:
            # Left over from an earlier life of the key: what is taken now goes above it.
            hold.record = replace(hold.record, term=n.highest_term + 1)
            hold.acked.clear()
            self.table.write(hold.record)
            hold.waits = [(hold.record.version, until, call) for _, until, call in hold.waits]
            self._spread(now, hold)
        elif n.reason == m.RejectReason.FENCED:
            self._fenced(peer, n.key, (n.highest_term, LAST))  # not ours, or it would have been admitted
        elif n.reason in (m.RejectReason.KEY_HELD, m.RejectReason.KEY_REUSED) and done is not None:
            hold.admit, hold.waits = None, []
            digest = hold.record.request_digest
            self._let_go(hold)
            if n.reason == m.RejectReason.KEY_REUSED:
                done(Taken("reused"))
            else:
                self._ask(now, n.holder, n.key, digest, done)
        elif n.reason in (m.RejectReason.MEMORY_TOO_SHORT, m.RejectReason.OUT_OF_CAPACITY):
            hold.sent[peer] = now + self.s.resend_interval_ms * 4  # it may have room, or memory enough, later

    # A client that comes back.

    def _known(self, now: float, key: str, digest: str, done: Callable[[Taken], None]) -> None:
        held, hold = self.table.get(key), self.holds.get(key)
        assert held is not None
        if hold is None:
            return self._ask(now, held.holder, key, digest, done)
        if (
            hold.record.stage < Stage.ANSWERED
            or self._committed(hold) < hold.record.version
            or not self._acting(now, hold)
        ):
            return done(Taken("running"))
        r = hold.record
        if not r.answer_retained and r.effect is Effect.SAFE:
            self._let_go(hold)
            return self._turn_away(done, "answer-not-kept")
        self.counts["answered-again"] += 1
        done(Taken("done", r.outcome if r.answer_retained else Outcome.FAILED, r.answer, r.reason))

    def _ask(self, now: float, owner: str, key: str, digest: str, done: Callable[[Taken], None]) -> None:
        if owner not in self.links or owner not in self.view:
            return done(Taken("running", reason="holder-lost"))
        self._n += 1
        self._asks[self._n] = (now + self.s.quorum_timeout_ms, done)
        self.out.append((owner, m.LookupRequest(self._n, key, digest)))

    def _on_ask(self, now: float, peer: str, ask: m.LookupRequest) -> None:
        held = self.table.get(ask.key)
        if held is None:
            self.out.append((peer, m.LookupReply(ask.request_id, m.LookupState.UNKNOWN)))
            # Somebody still has a copy of what was let go here.
            self.out += [
                (v, m.Release(ask.key, self.run))
                for v in dict.fromkeys((peer, *self.placement.voters(ask.key, self.s.voter_count)))
                if v in self.links
            ]
            return
        if held.request_digest != ask.request_digest:
            return self.out.append((peer, m.LookupReply(ask.request_id, m.LookupState.OTHER_REQUEST)))
        if ask.key not in self.holds:  # on its way to yet another
            return self.out.append((peer, m.LookupReply(ask.request_id, m.LookupState.RUNNING)))
        self._known(
            now,
            ask.key,
            ask.request_digest,
            lambda t: self.out.append(
                (
                    peer,
                    m.LookupReply(
                        ask.request_id,
                        {"running": m.LookupState.RUNNING, "done": m.LookupState.ANSWERED}.get(
                            t.state, m.LookupState.UNKNOWN
                        ),
                        t.outcome,
                        t.answer,
                        t.reason,
                    ),
                )
            ),
        )

    def _on_found(self, f: m.LookupReply) -> None:
        asked = self._asks.pop(f.request_id, None)
        if asked is None:
            return
        if f.state == m.LookupState.ANSWERED:
            return asked[1](Taken("done", f.outcome, f.answer, f.reason))
        if f.state == m.LookupState.UNKNOWN:
            return self._turn_away(asked[1], "let-go")
        asked[1](Taken("reused") if f.state == m.LookupState.OTHER_REQUEST else Taken("running"))

    # The voter's side.

    def _fit(self, now: float, made: bool, age: float) -> bool:
        """Whether this member can have forgotten nothing about a key: it remembers for longer than any record lives,
        or since before a key was made that nobody used before."""
        remembers = now - self.born
        return remembers >= self.s.record_lifetime_ms or made and remembers > age * (1 + self.s.max_clock_drift)

    def _lives(self, record: Record) -> bool:
        return self.view.get(record.holder) == record.holder_incarnation

    def _on_copy(self, now: float, peer: str, c: m.Replicate) -> None:
        r = c.record
        if r.holder != peer or self.me not in r.voters:
            return
        held = self.table.get(r.key)
        why: m.RejectReason | None = None
        owner = ""
        if (
            held is not None
            and (held.holder, held.holder_incarnation) != (r.holder, r.holder_incarnation)
            and (c.new_key or r.term <= held.term)
        ):
            why, owner = (
                (m.RejectReason.KEY_HELD if held.request_digest == r.request_digest else m.RejectReason.KEY_REUSED),
                held.holder,
            )
        elif held is None and not self._fit(now, r.key_generated and not r.admitted, c.age_ms):
            why = m.RejectReason.MEMORY_TOO_SHORT
        elif not self.table.ballots.admits(r):
            why = m.RejectReason.FENCED
        elif c.body is None and r.stage < Stage.ANSWERED and self.table.body(r.key) is None:
            why = m.RejectReason.BODY_MISSING
        elif not self.table.receive_replica(r, c.remaining_ms, now, c.body):
            if held is not None and held.precedence() > r.precedence() and held.holder == r.holder:
                return  # an older version, late: the newer one was acknowledged
            why = m.RejectReason.OUT_OF_CAPACITY
        if why is not None:
            return self.out.append(
                (
                    peer,
                    m.ReplicateReject(r.key, r.term, why, c.sent_at_ms, owner, self.table.ballots.highest_term(r.key)),
                )
            )
        hold = self.holds.get(r.key)
        if hold is not None and hold.record.holder != r.holder:
            self._lose(hold)
        self._orphans.pop(r.key, None)
        self.out.append((peer, m.ReplicateAck(r.key, r.term, r.version, c.sent_at_ms)))

    def _on_claim(self, now: float, peer: str, c: m.ClaimRequest) -> None:
        held = self.table.get(c.key)
        highest = self.table.ballots.highest_term(c.key)
        if held is None and not self._fit(now, False, 0.0):
            return self.out.append((peer, m.ClaimReject(c.key, c.term, m.RejectReason.MEMORY_TOO_SHORT, highest)))
        if held is not None and held.holder != peer and self._lives(held):
            return self.out.append((peer, m.ClaimReject(c.key, c.term, m.RejectReason.HOLDER_ALIVE, highest)))
        if held is not None and c.term <= held.term or not self.table.grant(c.key, (c.term, peer), now):
            highest = max(highest, held.term if held is not None else 0)
            return self.out.append((peer, m.ClaimReject(c.key, c.term, m.RejectReason.TERM_TOO_LOW, highest)))
        if held is not None:
            self._pass(c.key, held, (c.term, peer))
        hold = self.holds.get(c.key)
        if hold is not None and hold.record.term < c.term:
            self._lose(hold)
        claiming = self._claims.get(c.key)
        if claiming is not None and claiming.claim.ballot < (c.term, peer):
            del self._claims[c.key]
            self._orphans[c.key] = now + self.s.lease_ms + self.rng.uniform(*AGAIN)
        record = None if held is None else replace(held, deadline_ms=0.0)
        self.out.append(
            (peer, m.ClaimGrant(c.key, c.term, record, held.deadline_ms - now if held else 0.0, self.table.body(c.key)))
        )

    def _pass(self, key: str, held: Record, ballot: Ballot) -> None:
        """The former holder is told, now and on each new connection: its lease rests on our silence."""
        term, by = ballot
        self._passed[key] = (held.holder, term, by)
        if held.holder in self.links and held.holder != by:
            self.out.append((held.holder, m.Fenced(key, term, by)))

    # The claimer's side.

    def _review(self, now: float) -> None:
        self._reviewed, self._hasty = now, False
        for record in self.table:
            key = record.key
            if key in self.holds or key in self._claims:
                continue
            at = claim_rank(record, self.me, self.view)
            if at is None:
                self._orphans.pop(key, None)
            elif key not in self._orphans:
                self._orphans[key] = now + at * self.s.claim_stagger_ms

    def _claim_due(self, now: float) -> None:
        due = [k for k, at in self._orphans.items() if at <= now][:CLAIMS]
        for key in due:
            del self._orphans[key]
            self._claim(now, key, self._floors.get(key, 0))
        for key, claiming in list(self._claims.items()):
            acts = claiming.claim.effective_from()
            if acts is not None and acts <= now:
                self._won(now, key, claiming)
            elif acts is None and (claiming.claim.is_lost() or now - claiming.since > self.s.quorum_timeout_ms * 2):
                del self._claims[key]
                self._orphans[key] = now + self.rng.uniform(*AGAIN)

    def _claim(self, now: float, key: str, floor: int) -> None:
        held = self.table.get(key)
        hold = self.holds.get(key)
        if held is None or (self._lives(held) if hold is None else not hold.stalled):
            return
        others = [v for v in held.voters if v != self.me and v in self.links]
        if len(others) + 1 < quorum_of(held, self.s):
            # A claim that can't win would only take this member's vote from a holder that may live.
            self._orphans[key] = now + self.rng.uniform(*AGAIN)
            return
        claim = self.table.start_claim(key, self.me, floor)
        if claim is None:
            return
        self.counts["claims"] += 1
        self._claims[key] = claiming = Claiming(claim, now, None)
        self._grant_own(now, key, claiming)
        self.out += [(v, m.ClaimRequest(key, claim.ballot[0])) for v in others]

    def _on_grant(self, now: float, peer: str, g: m.ClaimGrant) -> None:
        claiming = self._claims.get(g.key)
        if claiming is None or claiming.claim.ballot != (g.term, self.me):
            return
        newest = None if g.record is None else replace(g.record, deadline_ms=now + g.remaining_ms)
        claiming.claim.add_grant(peer, newest, now)
        claiming.body = claiming.body if claiming.body is not None else g.body
        self._grant_own(now, g.key, claiming)

    def _grant_own(self, now: float, key: str, claiming: Claiming) -> None:
        claim, held = claiming.claim, self.table.get(key)
        if claim.needs_own_grant() and held is not None and self.table.ballots.grant(key, claim.ballot):
            if held.holder != self.me:
                self._pass(key, held, claim.ballot)
            claim.add_grant(self.me, held, now)
            claiming.body = claiming.body if claiming.body is not None else self.table.body(key)

    def _on_refusal(self, now: float, peer: str, r: m.ClaimReject) -> None:
        claiming = self._claims.get(r.key)
        if claiming is None or claiming.claim.ballot != (r.term, self.me):
            return
        self.counts[f"claim-{REJECT_COUNTERS[r.reason]}"] += 1
        claiming.claim.add_rejection(peer)
        if r.reason == m.RejectReason.TERM_TOO_LOW and claiming.claim.is_lost() and claiming.claim.won_at_ms is None:
            del self._claims[r.key]
            self._floors[r.key] = r.highest_term  # the next one goes above
            self._orphans[r.key] = now + self.rng.uniform(*AGAIN)

    def _won(self, now: float, key: str, claiming: Claiming) -> None:
        """The lease of whoever held it has ended: it is held here from now on."""
        del self._claims[key]
        held, claimed = self.table.get(key), claiming.claim.record
        if held is None or (held.holder, held.holder_incarnation, held.term) != (
            claimed.holder,
            claimed.holder_incarnation,
            claimed.term,
        ):
            return  # its holder let go of it, and the key may have been taken anew
        record = claiming.claim.claimed_record(self.run)
        if not self.table.ballots.admits(record):  # a higher claim was granted meanwhile
            return
        self.counts["taken-over"] += 1
        self.notices.append(
            Notice(
                "handoff-taken-over",
                key,
                {"owner": claiming.claim.record.holder, "term": record.term, "stage": record.stage.name.lower()},
            )
        )
        if (before := self.holds.get(key)) is not None:
            self._lose(before)
        self.table.write(record, claiming.body)
        hold = self.holds[key] = Hold(record, now, stalled=True)
        self._active[key] = None
        self._passed.pop(key, None)
        self._spread(now, hold)
