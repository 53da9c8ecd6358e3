"""All decisions of decklb. Types, events and actions: decklb/interface.py. Why: docs/design.md.

A request waits in its tenant's queue, oldest first; weighted round robin releases it to the less loaded of
two engines in its table group's hash order, within a bound on threads; a PI loop retunes the weights.
"""

from __future__ import annotations

import math
import random

from decklb import interface as api
from decklb.interface import Effect, Outcome, Settings
from decklb.state import LONG_AGO, Attempt, Engine, Fleet, Keys, Request, Tenant, Usual, Window, Word

PERIOD = 5000.0  # ms between retunes of the weights (design page)
GAIN_P, GAIN_I = 0.5, 0.25  # weight per unit of relative error: last period, and the memory of those before
MEMORY = 0.7  # share of the error sum kept each period; two bare periods smooth too little (exception)
SPAN = 4.0  # a weight stays within this factor of its tenant's share, so a burst is repaid in a few periods
BOUND = 2.0  # threads a core under pressure (design page); beyond it engines lose work
ROOMY = 1.0  # further queries of the widest class that a front may have out while answers are quick
SLOW, CAPPED, JAM = 1.6, 4.0, 15.0  # times the usual: pressure from here; most an answer, an engine counts
CLOSE, OPEN, LEAST = 0.7, 1.2, 0.35  # steps of the room each second, under pressure and without; its least
SHORT = 2.0  # times as long as a query, from which on what is out does not hold it back
POOL = 0.1  # weight of a peer's word of slowness; own answers weigh twice to four times as much
SWEEP = 10.0  # ticks between looks at deadlines; an answer may come this early
PATIENCE = 0.5  # share of the shortest aim that the queue may last before the least valuable is refused
PROBES, ASKED, FRESH = 2.0, 8.0, 0.25  # probes a request taken; most saved up; aims for which a report holds
EASY = 0.6  # of the bound: fronts draw their limits on reported load from here up
NEAR = 6  # head of the order: engines drawn among
CHOICE, FEW = 8.0, 4  # own threads that engines chosen among may bear; engines used first, at least
EWMA = 0.05  # weight of one answer in running means: about twenty answers remembered
DOWN_MIN, DOWN_MAX = 0.1, 0.8  # periods before an engine that failed is tried again, doubling
FANOUT = 7  # peers told each time, drawn by chance where there are more: all-to-all grows with the square
STALE = 0.7  # periods without word after which a peer counts as down: three messages in a row are rarely lost
LOST, SURE = 3.0, 8.0  # times its usual time after which an attempt may be lost; after which it surely was
LOSSY = 0.08  # share of attempts surely lost of late from which those that may be are taken for lost
NOTES = 2.2  # periods of progress notes without one after which an attempt is lost, where there are notes
COLD_SAFE = 0.55  # share of its part of the fall budget (busy cores) that one front uses; the rest is chance
OUTLIER = 4.0  # times the usual size of its class at which a query runs at the lowest priority
RUNAWAY = 2.5  # times the usual of its class, or its aim, that the rest of a query takes under a bad plan
FAULTY, BLAME = 0.5, 0.2  # share of its errors and refusals that leaves an engine out; weight of one
ERRORS = 2  # after so many a request gets no further try
TRUST = 20  # answers before learned figures replace guesses
SHRINK = 0.5  # power of an estimate that is believed: it scatters about as widely as what it estimates
QUANTILE = 0.96  # of the memory needed over estimated: the rest spill a little, more would starve others


class Gateway:
    """One front: `step` takes a batch of events and returns the actions, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.s, self.rng = settings, random.Random(seed)
        self.now, self.seq, self.clock, self.started = 0.0, 0, 0.0, False
        self.actions: list[api.Action] = []
        self.requests: dict[str, Request] = {}
        self.fleet, self.keys = Fleet(), Keys()
        specs = settings.tenants or {"": api.TenantSpec("", 1.0)}
        self.tenants = {n: Tenant(t, t.share) for n, t in specs.items()}
        # Before the first answers half the aim is the guess: on the high side, so a cold engine is safe.
        self.usual = {n: Usual.guess(c.aim / 2, c.threads) for n, c in settings.classes.items()}
        span = settings.extra_window + 2 * settings.tick  # what the ration asks of, a tick to the safe side
        self.taken, self.extra = Window(span), Window(span)  # requests taken; attempts beyond the first
        self.heard: dict[int, tuple[float, list[float]]] = {}
        self.part, self.parts = 1.0 / settings.fronts, [1.0 / settings.fronts] * len(self.tenants)
        self.stress, self.room, self.base = 1.0, CAPPED, 1.0  # base: own part of the bound, in threads
        self.busy: dict[tuple[str, float], tuple[float, int]] = {}  # class, size: hold, threads
        self.sighted = settings.probes and "rif" in settings.fields  # load is reported to those who ask
        self.asks, self.mix = ASKED, 1.5  # probes saved up; threads a query, on average
        self.fresh = FRESH * min(c.aim for c in settings.classes.values())
        self.seen = self.retuned = self.told = self.relist = self.loss = self.swept = self.wake = 0.0

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Take a batch of events at one moment, in ms, and return the actions in order."""
        self.now, self.actions = now, []
        if not self.started:
            self.started, self.retuned, self.told, self.seen = True, now, now, now
            if self.s.must_ask:
                self.actions.append(api.Watch())
        for e in events:
            match e:
                case api.Arrival():
                    self._arrive(e)
                case api.Verdict():
                    self._verdict(e)
                case api.Doubted():
                    self.keys.doubt(e.key, now, self._rested_at())
                case api.Members(failed=True):  # ask again a little later, so that the list recovers
                    self.relist = now + DOWN_MIN * PERIOD * (1 + self.rng.random())
                case api.Members():
                    self.fleet.update(e.entries, e.complete, now, self.s.cores)
                    self._share()
                    self._reckon()
                case api.Probed():
                    self._probed(e)
                case api.Left() if e.req in self.requests:
                    self._close(self.requests[e.req])
                case api.Closing():
                    for r in [r for r in self.requests.values() if not r.done]:
                        out = [a.number for a in r.legs if a.outcome is None and self.s.cancelling]
                        self.actions += [api.Cancel(r.a.req, number) for number in out]
                        self._answer(r)
                case api.Started() if e.req in self.requests:
                    self.requests[e.req].stream = True
                case api.Datagram():
                    self._listen(e.sender, Word.read(e.data, len(self.s.tenants or [0]), len(self.usual)))
                case api.Progress() if e.req in self.requests and e.leg < len(self.requests[e.req].legs):
                    self._note(self.requests[e.req], self.requests[e.req].legs[e.leg], e)
        if now - self.swept >= (SWEEP - 1) * self.s.tick:
            self.swept = now
            self._sweep()
        if any(t.queue for t in self.tenants.values()):
            self._release()
            self._shed()
        due = now + (SWEEP * self.s.tick if self.requests else PERIOD / 5)  # idle fronts seldom wake
        if not now + self.s.tick / 2 < self.wake <= due:
            self.wake = due
            self.actions.append(api.Sleep(due - now, "sweep"))
        return self.actions

    def _share(self) -> None:
        """Only as many fronts use an engine first as its bound has threads, if each then has a few. With
        more, a query of each would be over the bound, each would hold a connection to every engine, and
        none would learn much of any."""
        s, ups = self.s, self.fleet.up()
        least = s.fronts if self.sighted else s.fronts * FEW / max(1, len(ups))
        for x in ups:
            x.users = min(s.fronts, math.ceil(max(BOUND * x.cores, least)))
            x.place = x.place_of(s.me, s.fronts)

    def _arrive(self, a: api.Arrival) -> None:
        spec = self.s.classes.get(a.lane)
        if a.req in self.requests:
            return
        if spec is None:
            return self.actions.append(api.Fail(a.req))
        self.taken.add(self.now)
        if a.tenant not in self.tenants:
            self.tenants[a.tenant] = Tenant(api.TenantSpec(a.tenant, 0.0), 1.0 / (len(self.tenants) + 1))
        t, u = self.tenants[a.tenant], self.usual[a.lane]
        self.seq += 1
        r = self.requests[a.req] = Request(a, spec, u, t, self.now, self.seq)
        if self.sighted:
            r.spin, self.asks = self.rng.random(), min(ASKED, self.asks + PROBES)
        t.came += 1
        if t.spec.quota_per_s:
            pace = t.spec.quota_per_s * self.parts[list(self.tenants).index(a.tenant)]
            r.over = t.over(pace, max(1.0, pace), self.now)  # a second's worth may come at once
        if a.cost > 0:
            u.cost += (EWMA if u.cost else 1.0) * (min(a.cost, 5 * u.cost or a.cost) - u.cost)
        if self._hopeless(r):  # a client's last try may leave no time at all
            self._give_up(r)
        elif not spec.serial or a.key is None or self.keys.join(a.key, r):
            self._enqueue(r)

    def _enqueue(self, r: Request) -> None:
        if not r.tenant.queue:  # an idle tenant saves up no turns
            r.tenant.turn = max(r.tenant.turn, self.clock)
        r.tenant.push(r)

    def _close(self, r: Request) -> None:
        """The request is over; its key's gate and the book of attempts live on until all of them ended."""
        r.done = True
        r.tenant.pull(r)
        if not r.legs:  # taken back or turned away unsent: a flood of those must not widen the ration
            self.taken.drop(r.arrived)
        if head := self.keys.advance(r.a.key, self._rested_at()):
            self._enqueue(head)
        if not r.out():
            self.requests.pop(r.a.req, None)
            r.legs.clear()  # a circle of references would wait for the garbage collector

    def _rested_at(self) -> float:
        """Until when a key rests whose attempt ends now: a tick to the safe side, if rests are asked."""
        return self.now + (self.s.settle + self.s.tick if self.s.settle else 0.0)

    def _give_up(self, r: Request) -> None:
        """The final answer, at once: refused where a retry is harmless, else failed."""
        if r.out() and not r.done:  # only its further copy is given up
            return r.tenant.pull(r)
        self._answer(r)

    def _answer(self, r: Request) -> None:
        harmless = r.may_have_run() is None or r.spec.effect is Effect.SAFE
        if harmless or r.spec.effect is Effect.KEYED and r.spec.group == "all":
            wait = min(self.s.max_retry_after, r.spec.aim) * self.s.retry_after
            self.actions.append(api.Refuse(r.a.req, wait))
        else:
            self.actions.append(api.Fail(r.a.req))
        self._close(r)

    def _verdict(self, e: api.Verdict) -> None:
        r = self.requests.get(e.req)
        if r is None or not 0 <= e.leg < len(r.legs) or r.legs[e.leg].outcome is not None:
            return
        leg = r.legs[e.leg]
        x, leg.outcome, leg.certain = leg.engine, e.outcome, e.certain
        x.running -= 0 if leg.lost else r.spec.threads
        x.out.pop((e.req, e.leg), None)
        if not leg.lost:
            x.unsort(leg)
        if e.outcome in (Outcome.GOOD, Outcome.LATE):
            sure = e.rtt > SURE * self._hold(r) and x.heard > leg.sent
            self.loss += EWMA * ((sure and e.outcome is Outcome.LATE) - self.loss)
        if e.outcome is Outcome.GOOD:
            self._learn(r, x, e)
        elif e.outcome is Outcome.NOCONN or e.outcome is Outcome.LATE and x.trial:  # gone; it comes back cold
            self._leave_out(x)
            x.cold_from = max(x.cold_from, self.now)
        elif e.outcome is Outcome.BAD:  # quick errors leave an engine idle, so it would draw more and more
            self._mark(x, JAM)
            if len(r.legs) == 1:  # what no engine can use comes in floods, which must not widen the ration
                self.taken.drop(r.arrived)
            if x.trial:
                self._leave_out(x)
        elif e.outcome is Outcome.FULL:  # turning work away leaves it idle too
            self._blame(x)
        elif e.outcome is Outcome.RST and not x.out:  # a death; the network resets single ones
            x.down_until = max(x.down_until, self.now + DOWN_MIN * PERIOD)
        if r.done or e.finished:
            if not r.done and e.outcome is Outcome.GOOD:  # only answers are throughput, not repeats
                r.tenant.book(self.now - r.arrived, self._aim(r))
            self._close(r)
        elif not r.stream and not r.out() and not r.queued:
            self._enqueue(r) if self._may_repeat(r) else self._give_up(r)

    def _blame(self, x: Engine) -> None:
        x.faults += BLAME * (1 - x.faults)
        if x.trial or x.faults > FAULTY:
            self._leave_out(x)

    def _leave_out(self, x: Engine) -> None:  # until one trial after a while, longer each time
        if self.now >= x.down_until:
            x.back_off = min(DOWN_MAX * PERIOD, max(DOWN_MIN * PERIOD, 2 * x.back_off))
            x.down_until, x.trial = self.now + x.back_off, True

    def _note(self, r: Request, leg: Attempt, e: api.Progress) -> None:
        """A bad plan, drawn anew each time, shows as a share far behind: once, another try is quicker."""
        leg.noted = self.now
        if e.kind == 1 and 0 < e.level < 1 and not leg.number and leg.outcome is None:
            rest = (self.now - leg.sent) * (1 - e.level) / e.level
            if rest > RUNAWAY * max(self._hold(r), r.spec.aim):
                self._call_off(leg)

    def _call_off(self, leg: Attempt) -> None:  # its outcome sends another try elsewhere
        r = leg.request
        if self.s.cancelling and r.spec.effect is Effect.SAFE and self._may_repeat(r):
            self.actions.append(api.Cancel(r.a.req, leg.number))

    def _learn(self, r: Request, x: Engine, e: api.Verdict) -> None:
        u, threads = r.usual, r.spec.threads
        x.trial, x.back_off, x.down_until, x.heard = False, 0.0, 0.0, self.now
        x.faults -= BLAME * x.faults
        # An error is the engine's own only where another could serve the request: what no engine can use
        # must leave none out.
        for y in [a.engine for a in r.legs if a.outcome is Outcome.BAD and a.engine is not x]:
            self._blame(y)
        u.n += 1
        alone = e.rtt / self._size(r)
        u.alone += max(EWMA, 1.0 / u.n) * (alone - u.alone)
        if u.n > TRUST / 2:
            u.best = min(u.best, u.alone) * (1 + EWMA * EWMA)
        ratio = min(CAPPED, e.rtt * threads / e.work if e.work else alone / u.best)
        self.stress += 4 * EWMA * (ratio - self.stress)
        self._mark(x, ratio)
        u.hold += max(EWMA, 1.0 / u.n) * (e.rtt - u.hold)
        # Without bills the best time tells of work: run times grow with a jam, and aims and turns with them.
        u.work += max(EWMA, 1.0 / u.n) * ((e.work or min(e.rtt, u.best) * threads) - u.work)
        u.last = e.memory / (r.a.need or 1.0) ** SHRINK
        u.sample(u.last, 10 * TRUST, self.rng)

    def _mark(self, x: Engine, slow: float) -> None:  # an answer there took this many times the usual
        x.slow += 4 * POOL * (min(slow, JAM) - x.slow)
        x.told = True

    def _size(self, r: Request) -> float:  # against the usual of its class, in bounds: estimates scatter
        return min(10.0, max(0.1, r.usual.size(r.a.cost))) if r.a.cost > 0 else 1.0

    def _hold(self, r: Request) -> float:
        return r.usual.hold * self._size(r) if r.a.cost > 0 else r.usual.hold

    def _work(self, r: Request) -> float:
        return r.usual.work * self._size(r)

    def _aim(self, r: Request) -> float:
        return r.spec.aim + r.spec.stretch * self._work(r) / r.spec.threads

    def _may_repeat(self, r: Request) -> bool:  # class, count, budget and time must allow it
        ran, s = r.may_have_run(), self.s
        if r.done or r.stream or len(r.legs) >= s.max_attempts or self._hopeless(r):
            return False
        if sum(a.outcome is Outcome.BAD for a in r.legs) >= ERRORS:  # the ration is for all
            return False
        unsafe, keyed = r.spec.effect is Effect.UNSAFE, r.spec.effect is Effect.KEYED
        if ran and (unsafe or keyed and self.now > ran.sent + r.spec.memory_span - s.tick):
            return False
        if s.extra_ratio is None:
            return True
        # The ration of further attempts, reckoned a tick to the safe side at both ends of the window.
        start = self.now - s.extra_window
        room = s.extra_floor + s.extra_ratio * self.taken.since(start + 2 * s.tick)
        return self.extra.since(start - s.tick) + 1 <= room

    def _hopeless(self, r: Request) -> bool:  # it can no longer earn anything
        spent = self.now - r.arrived
        soon = r.a.time_left - spent <= max(SWEEP * self.s.tick * 1.5, self._hold(r) / 2)
        return soon or r.spec.late_worth <= 0 and spent > r.spec.aim

    def _value(self, r: Request) -> float:  # worth a thread-ms
        worth = r.spec.worth * (self.s.over_share_worth if r.over else 1.0)
        if self.now - r.arrived > r.spec.aim:
            worth *= r.spec.late_worth
        return worth / (self._hold(r) * r.spec.threads)

    def _shed(self) -> None:
        """Keep each queue as short as its turns drain within the aims: least value goes first; one stays."""
        limit = PATIENCE * min(c.aim for c in self.s.classes.values()) * self.base * self.room
        weights = sum(t.weight for t in self.tenants.values() if t.queue) or 1.0
        for t in self.tenants.values():
            # By class where there are no estimates: under a flood this is reckoned at each step.
            total = sum(n * self.usual[k].hold * self.s.classes[k].threads for k, n in t.waiting.items())
            if any(self.usual[k].cost for k in t.waiting):
                total = sum(self._hold(r) * r.spec.threads for _, _, r in t.queue)
            total -= limit * t.weight / weights
            if total <= 0 or limit <= 0:
                continue
            for r in sorted((r for _, _, r in t.queue), key=lambda r: (self._value(r), r.seq))[:-1]:
                if total > 0:
                    total -= self._hold(r) * r.spec.threads
                    self._give_up(r)

    def _sweep(self) -> None:
        """What falls due: dead requests, lost attempts, the list, word to peers, the room, the retune."""
        for r in [q[2] for t in self.tenants.values() for q in t.queue] + self.keys.waiting():
            if not r.done and self._hopeless(r):
                self._give_up(r)
        self._overdue()
        self.keys.rested(self.now)
        if 0 < self.relist <= self.now:
            self.relist = 0.0
            self.actions.append(api.Watch())
        if self.now - self.told >= PERIOD / 5:
            for t in self.tenants.values():
                t.pace(self.now - self.told, 6 * EWMA)
            self.told = self.now
            for x in self.fleet.up():  # what is still out tells of a jam that answers nothing
                x.slow += POOL * (1 - x.slow)
                ages = [(self.now - a.sent) / self._hold(a.request) for a in x.out.values()]
                if ages and max(ages) > x.slow:
                    self._mark(x, max(ages))
            if self.s.peers and self.s.fronts > 1:
                self._tell()
            weigh = [(max(1, u.n) * u.hold, self.s.classes[n].threads) for n, u in self.usual.items()]
            self.mix = sum(w * k for w, k in weigh) / sum(w for w, _ in weigh)
            self.room *= OPEN if self.stress < SLOW else CLOSE
            self._reckon()
        if self.now - self.retuned >= PERIOD:
            self._retune()

    def _retune(self) -> None:
        """Proportional on the last period's error, integral on a fading sum of those before."""
        self.retuned, tenants = self.now, self.tenants.values()
        served, shares = sum(t.count for t in tenants), sum(t.spec.share for t in tenants) or 1.0
        for t in tenants:
            quota, error = max(1.0, t.spec.share / shares * served), 0.0
            if t.count > quota:
                error = max(-1.0, 1 - t.count / quota)
            elif t.latency > t.aims > 0:
                error = min(1.0, t.latency / t.aims - 1)
            t.integral = MEMORY * t.integral + error
            factor = 1 + GAIN_P * error + GAIN_I * t.integral
            t.weight = (t.spec.share or 1.0 / len(tenants)) * max(1 / SPAN, min(SPAN, factor))
            t.clear()
        total = sum(t.weight for t in tenants)
        for t in tenants:
            t.weight /= total

    def _release(self) -> None:
        """Weighted round robin over tenants with something to send, until nothing more fits."""
        ready = list(self.tenants.values())
        self._count()
        while ready and (self.sighted or not all(map(self._bound, self.fleet.up()))):
            t = min(ready, key=lambda t: t.turn)
            # Past a head that placement, a load or a key holds back; what waits for reports waits alike.
            for _, _, r in t.queue[: 2 if self.sighted else 8]:
                x = self._route(r) if self._fits(r) else None
                if x is not None:
                    self.clock = max(self.clock, t.turn)
                    # A turn costs the class's usual thread-time: heavy draws pay for what they take.
                    t.turn = self.clock + self._work(r) / max(1e-6, t.weight)
                    self._send(r, x)
                    break
            else:
                ready.remove(t)

    def _probed(self, e: api.Probed) -> None:
        """Load in threads a core; the mix of classes out is taken from what this front sends."""
        if x := self.fleet.engines.get(e.engine):
            x.asked = LONG_AGO
            if e.outcome is Outcome.NOCONN:  # word of those that probe it: as after an own failure to connect
                self._leave_out(x)
            if e.outcome is Outcome.GOOD and "rif" in e.report:
                x.load, x.read, self.seen = e.report["rif"] * self.mix / x.cores, self.now, self.now
                # Reports are late: with one limit for all, every front that waits would send at once.
                x.limit = BOUND * max(CLOSE, min(OPEN, self.room)) * self.rng.uniform(EASY, 1.0)

    def _fits(self, r: Request) -> bool:
        """Within the bound on all own threads. Much longer work does not count, else short work waits seconds
        behind it where the part is a query or two; nor what surely was lost, else ghosts fill it."""
        limit, longest = max(1.0, self.base * self.room), SHORT * self._hold(r)
        return self.sighted or limit > sum(threads for hold, threads in self.busy.values() if hold < longest)

    def _count(self) -> None:
        """Own threads out by class and size, once a step: each send asks, and thousands may be out."""
        self.busy.clear()
        for x in self.fleet.up():
            for kind, out in x.short.items():
                hold = out.usual.hold * out.size
                _, threads = self.busy.get(kind, (hold, 0))
                self.busy[kind] = hold, threads + out.since(self.now - SURE * hold)

    def _round(self, r: Request) -> float:  # sizes count in steps of two; 1 where there are no estimates
        return 2.0 ** round(math.log2(self._size(r)))

    def _bound(self, x: Engine) -> bool:
        """Two threads a core times this front's part, at least one query: answers tell a jam too late."""
        if self.now - x.read < self.fresh:
            return x.load >= x.limit
        return x.running >= max(1.0, BOUND * x.cores * self.part * self.room)

    def _cold(self, x: Engine, work: float) -> bool:
        """True if this work is more than a cold engine may get: each front spends its even part, alone."""
        s, age = self.s, self.now - x.cold_from
        if age >= s.cold or s.fall <= 0:
            return False
        if not x.near:  # its budget is divided among those that use it first
            return True
        share = s.cold_share + (1 - s.cold_share) * max(0.0, age) / s.cold
        budget = COLD_SAFE * s.overload_factor * share * x.cores * s.fall
        # Where the even part is below two queries fronts take turns, in an order each can reckon alone: half
        # the budget goes whole to a few for one span, so no window sees more than all of it. Heavy classes
        # have turns of their own: else their work fits no part, and all of it goes to engines that are warm.
        works = [u.work for u in self.usual.values()]
        heavy = work > 2 * min(works)
        most = max(works) if heavy else min(works)
        if budget < 2 * most * x.users:
            few = int(budget / (4 * most)) or 1
            budget *= 0.5 * x.users / few
            if (x.place + x.users // 2 * heavy + few * int(age / s.fall)) % x.users >= few:
                return True
        return x.sent_since(self.now - s.fall - s.tick) + work > budget / x.users

    def _allowed(self, r: Request, x: Engine, ran: Attempt | None) -> bool:
        """Placement, and for a keyed request that may have run the group that drops its repeats."""
        c, e, home = r.spec, x.entry, ran.engine.entry if ran else x.entry
        if r.zones is not None and e.zone not in r.zones or c.kinds is not None and e.kind not in c.kinds:
            return False
        if c.effect is not Effect.KEYED or c.group == "all":
            return True
        return e.zone == home.zone and (c.group == "zone" or e.cell == home.cell)

    def _route(self, r: Request) -> Engine | None:
        """Two-choice in the group's hash order, moving on when both are bound, past engines that can't."""
        resting = r.spec.serial and self.keys.rest.get(r.a.key or "", 0.0) > self.now  # after an end in doubt
        if resting or r.legs and not self._may_repeat(r):
            return None
        ran, pair, held, unseen = r.may_have_run(), list[Engine](), list[Engine](), list[Engine]()
        order = self.fleet.order(r.a.tables)
        many = 2 if self.sighted else max(2, math.ceil(CHOICE * len(order) / max(1.0, self.base)))
        if self.sighted:
            first, stale = int(r.spin * NEAR), self.now - self.fresh
            order = order[first:NEAR] + order[:first] + sorted(order[NEAR:], key=lambda x: x.read < stale)
        locks = r.spec.yields or r.spec.holds
        for i, x in enumerate(order):
            if self.now < x.down_until or self._bound(x) or not self._allowed(r, x, ran):
                continue
            tried = x.trial and any(a.sent >= x.down_until for a in x.out.values())
            # An engine that failed returns by one trial that may be lost.
            if tried or x.trial and r.spec.effect is not Effect.SAFE or self._cold(x, r.usual.work):
                continue
            # Another try goes elsewhere, and readers go round an own load on their group, if they can.
            # Engines that others use first, or out of the request's zone, are for when no other is free.
            same = bool(r.legs) and r.legs[-1].engine is x
            if same or locks and x.loads(r.a.tables) or not x.near or r.a.zone not in ("", x.entry.zone):
                held.append(x)
            elif self.sighted and self.now - x.read >= self.fresh:
                if i >= NEAR and len(unseen) > 1:
                    break
                if not LONG_AGO < x.asked < self.now - SWEEP * self.s.tick or self.now - self.seen > PERIOD:
                    unseen.append(x)  # one that answers no probe, while others do, is passed over
            else:
                pair.append(x)
            if len(pair) >= many:
                break
        if self.sighted and len(pair) < 2 and unseen:
            r.asked = r.asked or self.now
            for x in unseen[: 2 - len(pair)]:
                if self.asks >= 1 and x.asked == LONG_AGO:
                    self.asks, x.asked = self.asks - 1, self.now
                    self.actions.append(api.Probe(x.entry.engine))
            if self.now - r.asked < SWEEP * self.s.tick or not pair and self.now - self.seen < PERIOD:
                return None
            pair = pair or unseen[:2]  # no probe is answered any more
        if len(pair) > 2:  # a turn at a cold engine is used first
            pair = [x for x in pair if self.now - x.cold_from < self.s.cold] or pair
        # Own threads tell of this front's part of an engine's load, how slow its answers were of the others'.
        return min(
            pair or held[:many],
            default=None,
            key=lambda x: (
                x.load * x.slow if self.sighted else x.running / x.cores + (1 - self.part) * x.slow,
                round(x.slow),
                x.entry.zone != self.s.zone,
                self.rng.random(),
            ),
        )

    def _send(self, r: Request, x: Engine) -> None:
        r.tenant.pull(r)
        c, u, s = r.spec, r.usual, self.s
        if r.legs:
            self.extra.add(self.now)
        memory, rank, wait = 0.0, 1, max(s.tick, r.a.time_left - (self.now - r.arrived))
        if s.grants and len(u.need) >= TRUST:
            memory = u.need[int(QUANTILE * len(u.need))] * (r.a.need or 1.0) ** SHRINK
            memory = min(memory, s.largest_share * s.memory.get(x.entry.kind, memory))
        if s.ranks:  # short work first: it gains most from a larger share; loads release their readers
            short = min(v.hold * s.classes[n].threads for n, v in self.usual.items())
            rank = 0 if self._size(r) > OUTLIER else 2 if u.hold * c.threads < 2 * short or c.holds else 1
        if memory or rank != 1:
            self.actions.append(api.Terms(r.a.req, memory, rank))
        wait = min(wait, LOST * u.hold) if x.trial else wait
        leg = Attempt(r, len(r.legs), x, self.now, self._round(r))
        r.legs.append(leg)
        x.out[(r.a.req, leg.number)] = leg
        x.running += c.threads
        x.sort(leg, leg.size).add(leg)
        hold, threads = self.busy.get((c.name, leg.size), (self._hold(r), 0))
        self.busy[c.name, leg.size] = hold, threads + c.threads
        x.load += c.threads / x.cores
        x.spend(self.now, u.work, s.fall + s.tick)
        self.actions.append(api.Send(r.a.req, x.entry.engine, wait))

    def _overdue(self) -> None:
        """Where notes or late ends show that attempts get lost at engines that answer others, one far past
        its time is lost: its threads no longer count, and a copy or, called off, another try may go."""
        s = self.s
        for a in [a for x in self.fleet.up() for a in x.out.values()]:
            r, last = a.request, max(a.sent, a.noted)  # notes that cease tell that its answer has gone astray
            age, limit = self.now - last, NOTES * s.progress or LOST * self._hold(r)
            proven = s.progress or self.loss >= LOSSY
            if a.lost or age < limit or a.engine.heard < last + age / 2 or not proven:
                continue
            a.lost = True
            a.engine.unsort(a)
            a.engine.running -= r.spec.threads
            if not s.duplicates:
                self._call_off(a)
            elif not r.queued and self._may_repeat(r):
                self._enqueue(r)

    def _rates(self) -> list[float]:
        return [t.rate for t in self.tenants.values()][: len(self.s.tenants or [0])]

    def _reckon(self) -> None:
        """This front's part of the traffic, and of each tenant's, by word of its peers; even without word."""
        fresh = [r for at, r in self.heard.values() if self.now - at < PERIOD * STALE]
        own = self._rates()
        # A peer that fell silent while others speak is down; unless few are told: then silence is chance.
        silent = len(self.heard) - len(fresh) if fresh and self.s.fronts <= FANOUT + 1 else 0
        even, means = 1.0 / (self.s.fronts - silent), [sum(k) / len(k) for k in zip(own, *fresh, strict=True)]
        self.part = even * (sum(own) / sum(means) if sum(own) > 0 else 1.0)  # those not heard carry the mean
        self.parts = [even * (own[i] / means[i] if own[i] > 0 else 1.0) for i in range(len(own))]
        self.base = BOUND * self.part * sum(x.cores for x in self.fleet.up() if self.now >= x.down_until)
        roomy = 1 + ROOMY * max(c.threads for c in self.s.classes.values()) / max(1.0, self.base)
        self.room = max(LEAST, 1 / roomy, min(roomy, self.room))

    def _listen(self, sender: int, word: Word | None) -> None:
        """At hundreds of fronts each sees two or three answers a second: too few to learn from alone."""
        if word is None or sender == self.s.me or not 0 <= sender < self.s.fronts:
            return
        self.heard[sender] = (self.now, word.rates)
        self.stress += POOL * (min(word.stress, CAPPED) - self.stress)
        for tag, slow in word.marks:
            if x := self.fleet.tags.get(tag):
                x.slow += POOL * (slow - x.slow)
        for u, need in zip(self.usual.values(), word.needs, strict=True):
            u.sample(need, 10 * TRUST, self.rng)

    def _tell(self) -> None:
        """Word to all peers, or to a few by chance where they are many."""
        needs = [u.news() for u in self.usual.values()]
        data = Word(self._rates(), self.stress, needs, self.fleet.news()).pack()
        peers = [i for i in range(self.s.fronts) if i != self.s.me]
        few = [-1] if len(peers) <= FANOUT else self.rng.sample(peers, FANOUT)
        self.actions += [api.Tell(data, peer) for peer in few]
