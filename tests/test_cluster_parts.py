"""The cluster's decisions one by one: sealing, messages, news, suspicion, ownership, verdicts, duties, the key file."""

from __future__ import annotations

import math
import os
import random
import tempfile
import unittest
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from decklb.cli import main
from decklb.cluster import keyfile
from decklb.cluster import messages as m
from decklb.cluster.broadcast_queue import BroadcastQueue
from decklb.cluster.declines import Declines
from decklb.cluster.duties import DutyScheduler
from decklb.cluster.errors import WireError
from decklb.cluster.lamport_clock import LamportClock
from decklb.cluster.messages import DutyDecline, DutyResult, HealthStatus
from decklb.cluster.node import Node
from decklb.cluster.rendezvous import Ranking
from decklb.cluster.replay_window import WINDOW_SIZE, ReplayWindow
from decklb.cluster.sealing import Sealer
from decklb.cluster.settings import DutySettings, MembershipSettings
from decklb.cluster.suspicion import Suspicion
from decklb.cluster.timers import TimerQueue
from decklb.cluster.verdicts import VerdictTable

KEY, OTHER, SALT = bytes(32), bytes([1]) * 32, bytes(8)
WALL = 1_700_000_000_000


def envelope(body=(), sender="b", boot=7, seq=1, wall=WALL, clock=0):
    return m.encode_envelope(sender, boot, seq, wall, clock, [m.encode_message(x) for x in body])


def node(**duty):
    return Node(
        MembershipSettings(),
        [DutySettings(**duty)] if duty else [],
        "a",
        ("127.0.0.1", 1),
        Sealer("decklb", [KEY], bytes([9]) * 8),
        random.Random(1),
        0.0,
        WALL,
    )


class Sealing(unittest.TestCase):
    def test_first_seals_all_open(self):
        old, both = Sealer("c", [KEY], SALT), Sealer("c", [OTHER, KEY], bytes([2]) * 8)
        self.assertEqual(both.open(old.seal(b"x")), b"x")
        with self.assertRaises(WireError) as caught:
            old.open(both.seal(b"x"))
        self.assertEqual(caught.exception.reason, "key")
        with self.assertRaises(WireError) as caught:
            Sealer("d", [KEY], SALT).open(old.seal(b"x"))  # another cluster under the same key
        self.assertEqual(caught.exception.reason, "seal")

    def test_no_nonce_twice(self):
        sealer = Sealer("c", [KEY], SALT)
        self.assertEqual(len({sealer.seal(b"x")[5:17] for _ in range(1000)}), 1000)

    def test_window(self):
        replays, wall = ReplayWindow(1000.0), float(WALL)

        def seen(seq, at=WALL, boot=7):
            try:
                replays.check(m.decode_envelope(envelope(seq=seq, wall=at, boot=boot)), wall)
                return ""
            except WireError as error:
                return error.reason

        self.assertEqual([seen(n) for n in (5, 7, 6, 5, 7, 6)], ["", "", "", "replay", "replay", "replay"])
        self.assertEqual(
            [seen(n) for n in (5000, 5000 - WINDOW_SIZE + 1, 5000 - WINDOW_SIZE, 4999)], ["", "", "replay", ""]
        )
        self.assertEqual([seen(6000, WALL - 1001), seen(6001, WALL + 1001), seen(5, boot=8)], ["skew", "skew", ""])


# Each with the reason under which it is counted.
def foreign():
    yield "size", b""
    yield "size", bytes(33)
    yield "size", bytes(1401)
    yield "version", bytes([2]) * 100
    yield "key", Sealer("decklb", [OTHER], SALT).seal(envelope())
    good = Sealer("decklb", [KEY], SALT)
    sealed = good.seal(envelope())
    yield "seal", sealed[:-1]
    yield "seal", sealed[:40] + bytes([sealed[40] ^ 1]) + sealed[41:]
    yield "size", good.seal(b"")
    yield "shape", good.seal(b"\xc1" * 50)
    yield "shape", good.seal(b"\x91" * 1200)
    yield "shape", good.seal(envelope() + b"x")
    yield "shape", good.seal(msgspec.msgpack.encode([1, "", 7, 1, WALL, 0, []]))
    yield "shape", good.seal(msgspec.msgpack.encode([1, "b", -7, 1, WALL, 0, []]))
    yield "shape", good.seal(msgspec.msgpack.encode([1, "b", 7, 1, WALL, 0, [[99, 1]]]))
    yield "shape", good.seal(msgspec.msgpack.encode([1, "b", 7, 1, WALL, 0, [[5, "x" * 65, "h", 1, 1, 1, True, 1.0]]]))
    yield "shape", good.seal(msgspec.msgpack.encode([1, "b", 7, 1, WALL, 0, [[5, "x", "h", 0, 1, 1, True, 1.0]]]))
    yield "shape", good.seal(msgspec.msgpack.encode([1, "b", 7, 1, WALL, 0, [[5, "x", "h", 1, 1, 1, True, 0.0]]]))
    yield "shape", good.seal(msgspec.msgpack.encode([1, "b", 7, 1, WALL, 0, [[9]] * 401]))
    yield "version", good.seal(msgspec.msgpack.encode([2, "b", 7, 1, WALL, 0, []]))
    yield "skew", good.seal(envelope(wall=WALL - 31_000))
    yield "skew", good.seal(envelope(wall=0))


@pytest.mark.parametrize(("reason", "data"), list(foreign()), ids=lambda x: x if isinstance(x, str) else "")
def test_foreign_datagrams_are_counted_and_never_answered(reason, data):
    n = node()
    n.receive(0.0, WALL, data, ("127.0.0.1", 9))
    assert n.dropped == {reason: 1} and n.received == 0 and not n.outgoing


def test_replayed_datagram():
    n, data = node(), Sealer("decklb", [KEY], SALT).seal(envelope([m.Ping(1, "a")]))
    n.receive(0.0, WALL, data, ("127.0.0.1", 9))
    answers = len(n.outgoing)
    n.receive(1.0, WALL + 1, data, ("127.0.0.1", 9))
    assert answers > 0 and len(n.outgoing) == answers and n.dropped == {"replay": 1}


def test_decoder_on_noise():
    rng, n = random.Random(4), node(period_ms=1000.0)
    sealer = Sealer("decklb", [KEY], SALT)
    whole = envelope(
        [
            m.Alive("b", "127.0.0.1", 9, 5, 7, True, 1.0),
            m.Suspect("a", 3, "b"),
            m.Digest(bytes(256)),
            m.DutyResult("probe", "e", 3, "b", WALL, HealthStatus.DOWN),
            m.MemberRecord("c", "h", 2, 1, 1, True, 1.0, 2, 5),
        ]
    )
    for i in range(3000):
        data = bytearray(whole)
        for _ in range(rng.randint(1, 6)):
            data[rng.randrange(len(data))] = rng.randrange(256)
        n.receive(float(i), WALL + i, sealer.seal(bytes(data[: rng.randint(1, len(data))])), ("127.0.0.1", 9))
        n.tick(float(i), WALL + i)
    assert n.received + sum(n.dropped.values()) == 3000 and n.dropped["shape"] > 1000


class NewsQueue(unittest.TestCase):
    def test_least_told_first_and_bounded(self):
        news = BroadcastQueue()
        for i in range(4):
            news.add(i, bytes([i]) * 100)
        self.assertEqual(news.take(250, 2), [bytes([0]) * 100, bytes([1]) * 100])
        self.assertEqual([x[0] for x in news.take(250, 2)], [2, 3])
        news.add(0, bytes([9]) * 100)  # newer word on the same subject starts anew
        self.assertEqual([x[0] for x in news.take(450, 2)], [9, 1, 2, 3])
        self.assertEqual([x[0] for x in news.take(450, 2)], [9])
        self.assertEqual(len(news), 0)


class Suspicions(unittest.TestCase):
    def test_shrinks_with_agreement(self):
        s = MembershipSettings(probe_interval_ms=1000.0, suspicion_multiplier=4.0, suspicion_max_multiplier=6.0)
        x = Suspicion.start(s, 0.0, 100, "a")
        ends = [x.deadline()]
        for by in ("a", "b", "c", "d", "e"):
            x.confirm(by)
            ends.append(x.deadline())
        self.assertEqual((ends[0], ends[-1]), (48_000.0, 8000.0))
        self.assertEqual(ends, sorted(ends, reverse=True))
        self.assertEqual(ends[0], ends[1])  # the same one says it again
        self.assertEqual(Suspicion.start(s, 0.0, 2, "a").deadline(), 4000.0)


class Ownership(unittest.TestCase):
    def ranking(self, members, duties=2000):
        r = Ranking()
        for name, weight in members.items():
            r.add_member(name, weight)
        r.set_duties([f"e{i}" for i in range(duties)])
        return r

    def test_shares_follow_weights(self):
        r = self.ranking({"a": 1.0, "b": 2.0, "c": 1.0})
        sizes = {n: len(r.duties_of(n, {"a", "b", "c"}, {})) for n in "abc"}
        self.assertEqual(sum(sizes.values()), 2000)
        self.assertTrue(900 < sizes["b"] < 1100, sizes)

    @settings(max_examples=60, deadline=None)
    @given(st.sets(st.integers(0, 39), min_size=1), st.integers(0, 9))
    def test_exactly_one_owner_whoever_is_able(self, able, gone):
        r = self.ranking({f"m{i}": 1.0 + i % 3 for i in range(40)}, 200)
        names = {f"m{i}" for i in able}
        owned = [d for n in names for d in r.duties_of(n, names, {})]
        self.assertEqual(sorted(owned), sorted(r.duties()))
        self.assertTrue(all(d in r.duties_of(r.owner(d, names), names, {}) for d in list(r.duties())[:20]))
        # One that goes: nobody else's duties move.
        victim = sorted(names)[gone % len(names)]
        rest = names - {victim}
        if rest:
            moved = {d for d in r.duties() if r.owner(d, names) != r.owner(d, rest)}
            self.assertEqual(moved, r.duties_of(victim, names, {}))

    def test_order_of_arrival_does_not_matter(self):
        names = {f"m{i}": 1.0 for i in range(30)}
        one, two = self.ranking(names, 300), Ranking()
        two.set_duties([f"e{i}" for i in range(300)])
        for name in reversed(names):
            two.add_member(name, 1.0)
        two.add_member("x", 5.0)
        two.remove_member("x")
        two.add_member("m3", 2.0)
        two.add_member("m3", 1.0)
        for able in (set(names), {"m4", "m20"}):
            self.assertEqual([one.owner(d, able) for d in one.duties()], [two.owner(d, able) for d in one.duties()])

    def test_passed_over(self):
        r = self.ranking({"a": 1.0, "b": 1.0}, 50)
        duty = next(iter(r.duties_of("a", {"a", "b"}, {})))
        self.assertEqual(r.owner(duty, {"a", "b"}, {"a"}), "b")
        self.assertIn(duty, r.duties_of("b", {"a", "b"}, {duty: {"a"}}))
        self.assertEqual(r.owner(duty, {"a", "b"}, {"a", "b"}), "a")  # nobody is left: its first owner
        declines = Declines()
        self.assertTrue(declines.add(duty, "a", 10.0))
        self.assertFalse(declines.add(duty, "a", 10.0))
        self.assertEqual((declines.active(9.0), declines.active(10.0)), ({duty: {"a"}}, {}))


class Held(unittest.TestCase):
    def setUp(self):
        self.v = VerdictTable(
            DutySettings(repeat_interval_ms=1000.0, mass_failure_hold_ms=5000.0, mass_failure_ratio=0.6)
        )
        self.listed = {f"e{i}" for i in range(10)}

    def say(self, now, subject, state, term=1, at=1, owner="a"):
        return self.v.apply(now, DutyResult("probe", subject, term, owner, at, state))

    def test_older_terms_are_dropped(self):
        self.assertTrue(self.say(0, "e1", HealthStatus.UP, term=5))
        self.assertFalse(self.say(1, "e1", HealthStatus.DOWN, term=4, at=99))
        self.assertFalse(self.say(1, "e1", HealthStatus.DOWN, term=5, at=0))
        self.assertTrue(self.say(1, "e1", HealthStatus.DOWN, term=5, at=2))
        self.assertFalse(self.say(1, "e1", HealthStatus.DOWN, term=5, at=2))  # the same again is no older result
        self.assertEqual((self.v.term("e1"), self.v.outdated_results), (5, 2))

    def test_told_again_then_lifted_then_aged_out(self):
        self.say(0, "e1", HealthStatus.DOWN)
        self.assertEqual(self.v.take_updates(0, self.listed), [("probe", "e1", False)])
        self.assertEqual(self.v.take_updates(500, self.listed), [])
        self.assertEqual(self.v.take_updates(1000, self.listed), [("probe", "e1", False)])
        self.say(1500, "e1", HealthStatus.UP, at=2)
        self.assertEqual(self.v.take_updates(1500, self.listed), [("probe", "e1", True)])
        self.say(2000, "e1", HealthStatus.DOWN, at=3)
        self.v.take_updates(2000, self.listed)
        self.assertEqual(self.v.take_updates(5001, self.listed), [])  # no word for three refreshes: unknown, not up
        self.assertFalse(self.v.is_down("e1"))

    def test_never_lets_in_what_the_list_keeps_out(self):
        self.say(0, "e1", HealthStatus.DOWN)
        self.v.take_updates(0, self.listed)
        self.say(1, "e1", HealthStatus.UP, at=2)
        self.assertEqual(self.v.take_updates(1, self.listed - {"e1"}), [])

    def test_all_down_at_once_is_doubted(self):
        self.say(0, "e0", HealthStatus.DOWN)
        self.assertEqual(self.v.take_updates(0, self.listed), [("probe", "e0", False)])
        for t in range(1000, 9000, 500):  # known to be down long before
            self.say(t, "e0", HealthStatus.DOWN, at=t)
            self.v.take_updates(t, self.listed)
        for i in range(1, 10):
            self.say(9000, f"e{i}", HealthStatus.DOWN)
        self.assertEqual(self.v.take_updates(9000, self.listed), [("probe", "e0", False)])
        for i in range(10):
            self.say(11_900, f"e{i}", HealthStatus.DOWN, at=9001)
        self.assertEqual(self.v.take_updates(13_900, self.listed), [("probe", "e0", False)])
        self.assertEqual(len(self.v.take_updates(14_000, self.listed)), 9)  # it has stood for so long: believed


class Scheduling(unittest.TestCase):
    def setUp(self):
        self.timers, self.started, self.told = TimerQueue(), [], []
        self.shift = 0.0  # of the wall clock

    def make(self, me="a", members=("a",), subjects=("e1",), **settings_):
        ranking, s = Ranking(), DutySettings(**({"period_ms": 1000.0, "timeout_ms": 100.0} | settings_))
        for name in members:
            ranking.add_member(name, 1.0)
        self.lamport = LamportClock()
        d = DutyScheduler(
            s,
            me,
            ranking,
            VerdictTable(s),
            self.lamport,
            self.timers,
            lambda now: now + 1e9 + self.shift,
            lambda start: self.started.append((self.now, start)),
            self.tell,
        )
        self.d = d
        self.now = 0.0
        d.set_subjects(0.0, dict.fromkeys(subjects, 0.0))
        d.update_ownership(0.0, set(members), False)
        return d

    def tell(self, message):
        self.told.append(message)
        if isinstance(message, DutyResult):
            self.d.on_result(self.now, message)
        else:
            self.d.on_decline(self.now, message)

    def go(self, until, ok=True, took=10.0):
        """Let time pass; each run ends after `took` ms, None for never."""
        while (due := min(self.timers.next_due(), until)) < until or self.timers.next_due() <= until:
            self.now = max(self.now, due)
            before = len(self.started)
            self.timers.run_due(self.now)
            for _, start in self.started[before:]:
                if took is not None:
                    self.timers.call_at(self.now + took, lambda t, s=start.subject: self.end(t, s, ok))
        self.now = until

    def end(self, now, subject, ok):
        before = len(self.started)
        self.d.on_run_ended(now, subject, ok)
        for _, start in self.started[before:]:
            self.timers.call_at(now + 10.0, lambda t, s=start.subject: self.end(t, s, ok))

    def test_once_a_period_at_its_phase(self):
        self.make(subjects=[f"e{i}" for i in range(20)])
        self.go(10_000.0)
        for i in range(20):
            times = [t for t, s in self.started if s.subject == f"e{i}"]
            self.assertEqual(len(times), 10)
            self.assertTrue(all(abs(b - a - 1000.0) < 1e-6 for a, b in zip(times, times[1:], strict=False)))
        first = [t for t, _ in self.started[:20]]
        self.assertGreater(max(first) - min(first), 500.0)  # spread over the period

    def test_cold_is_probed_less_and_few_members_slow_down(self):
        d = self.make(warming_up_factor=2.0, minority_factor=3.0)
        d.set_subjects(0.0, {"e1": 1e9 + 4000.0})
        self.assertEqual([d.period_ms(t, "e1") for t in (0.0, 3999.0, 4000.0)], [2000.0, 2000.0, 1000.0])
        d.update_ownership(0.0, {"a"}, True)
        self.assertEqual(d.period_ms(5000.0, "e1"), 3000.0)

    def test_a_clock_that_jumps_neither_doubles_nor_stops(self):
        self.make()
        self.go(3000.0)
        self.shift = -7_777_777.0
        self.go(6000.0)
        self.shift = 9e12
        self.go(12_000.0)
        times = [t for t, _ in self.started]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), 500.0)
        self.assertLessEqual(max(gaps), 2000.0)

    def test_longer_than_its_period_is_not_started_twice(self):
        d = self.make()
        self.go(4500.0, took=None)
        self.assertEqual((len(self.started), d.counters.overruns >= 3), (1, True))
        d.on_run_ended(4500.0, "e1", True)
        self.go(6000.0)
        self.assertGreater(len(self.started), 1)

    def test_at_most_so_many_at_a_time(self):
        d = self.make(subjects=[f"e{i}" for i in range(30)], max_concurrent=4)
        self.go(1500.0, took=None)
        self.assertEqual((len(self.started), d.running), (4, 4))
        d.on_run_ended(1500.0, self.started[0][1].subject, True)
        self.assertEqual(len(self.started), 5)

    def test_hands_on_then_believes(self):
        d = self.make(
            members=("a", "b"), subjects=[f"e{i}" for i in range(8)], failures_to_decline=3, decline_hold_ms=60_000.0
        )
        mine = {s for s, x in d.duties.items() if x.is_owned}
        self.assertTrue(0 < len(mine) < 8)
        self.go(1950.0, ok=False)
        self.assertEqual(self.told, [])
        self.go(3100.0, ok=False)
        self.assertEqual({(type(x), x.subject) for x in self.told}, {(DutyDecline, s) for s in mine})
        self.assertFalse(any(x.is_owned for x in d.duties.values()))
        self.go(70_000.0, ok=False)  # its rest is over: it tries again, and rests longer
        # What is said again meanwhile has less of its rest left.
        rests = {x.hold_ms for x in self.told if isinstance(x, DutyDecline)}
        self.assertTrue({60_000, 120_000} <= rests and max(rests) == 120_000, rests)

    def test_second_opinion_then_a_verdict(self):
        d = self.make(me="b", members=("a", "b"), failures_to_decline=3, subjects=[f"e{i}" for i in range(8)])
        theirs = sorted(set(d.ranking.duties()) - {s for s, x in d.duties.items() if x.is_owned})[0]
        d.on_decline(0.0, DutyDecline("probe", theirs, "a", 10**9, 60_000))
        self.assertTrue(d.duties[theirs].is_owned)
        self.go(400.0, ok=False)  # promptly, not in its turn
        self.assertEqual([(x.subject, x.status) for x in self.told], [(theirs, HealthStatus.DOWN)])
        self.go(2000.0, ok=True)
        self.assertEqual([x.status for x in self.told if x.subject == theirs][-1], HealthStatus.UP)

    def test_alone_it_believes_itself(self):
        self.make(failures_to_decline=2, repeat_interval_ms=2500.0)
        self.go(1900.0, ok=False)
        self.assertEqual([x.status for x in self.told if isinstance(x, DutyResult)], [HealthStatus.DOWN])
        self.go(9000.0, ok=False)
        self.assertEqual(len(self.told), 3)  # repeated at each refresh, not each period
        self.go(11_000.0, ok=True)
        self.assertEqual(
            [x.status for x in self.told], [HealthStatus.DOWN, HealthStatus.DOWN, HealthStatus.DOWN, HealthStatus.UP]
        )

    def test_terms_rise_over_what_others_found(self):
        d = self.make()
        first = d.duties["e1"].term
        d.on_result(0.0, DutyResult("probe", "e1", 50, "z", 5, HealthStatus.DOWN))
        self.assertGreater(d.duties["e1"].term, max(first, 50))
        self.assertFalse(d.on_result(0.0, DutyResult("probe", "e1", 49, "y", 9, HealthStatus.DOWN)))
        self.go(2000.0)
        self.assertEqual([(x.status, x.term > 50) for x in self.told], [(HealthStatus.UP, True)])

    def test_one_that_died_is_taken_over_promptly_one_that_moved_is_not(self):
        d = self.make(members=("a", "b"), subjects=[f"e{i}" for i in range(40)])
        before = set(d.duties)
        d.update_ownership(0.0, {"a"}, False)
        due = [x.timer.due_ms for s, x in d.duties.items() if s not in before]
        self.assertLessEqual(max(due), 250.0)
        self.go(300.0)
        d.update_ownership(300.0, {"a", "b"}, False)
        self.assertEqual({s for s, x in d.duties.items() if x.is_owned}, before)
        self.assertEqual((d.counters.lost, d.counters.gained), (len(due), 40))

    def test_lamport(self):
        clock = LamportClock()
        clock.observe(7)
        self.assertEqual((clock.next_term(), clock.next_term()), (8, 9))
        clock.observe(3)
        self.assertEqual(clock.value, 9)


class TimerHeap(unittest.TestCase):
    def test_cancelled_and_nested(self):
        timers, seen = TimerQueue(), []
        timers.call_at(5.0, lambda t: seen.append("b"))
        timers.call_at(3.0, lambda t: (seen.append("a"), timers.call_at(t, lambda t: seen.append("c"))))
        timers.call_at(1.0, lambda t: seen.append("never")).cancel()
        self.assertEqual(timers.next_due(), 3.0)
        timers.run_due(6.0)
        self.assertEqual((seen, timers.next_due()), (["a", "b"], 6.0))
        timers.run_due(6.0)
        self.assertEqual((seen, timers.next_due()), (["a", "b", "c"], math.inf))


class KeyFile(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = str(Path(folder.name) / "k.json")

    def run_(self, *words):
        return CliRunner().invoke(main, ["keys", *words])

    def test_commands(self):
        first = self.run_("new", self.path)
        self.assertEqual((first.exit_code, os.stat(self.path).st_mode & 0o777), (0, 0o600))
        self.assertEqual(self.run_("new", self.path).exit_code, 1)
        self.assertIn("nothing to promote", self.run_("rotate", self.path, "--step", "promote").output)
        old = keyfile.read(self.path)[0]
        self.run_("rotate", self.path, "--step", "add")
        self.assertEqual([k.secret == old.secret for k in keyfile.read(self.path)], [True, False])
        self.run_("rotate", self.path, "--step", "promote")
        self.assertEqual([k.secret == old.secret for k in keyfile.read(self.path)], [False, True])
        listed = self.run_("list", self.path).output
        self.assertIn("seals and opens", listed.splitlines()[0])
        self.assertNotIn(old.secret.hex(), listed)
        self.run_("rotate", self.path, "--step", "drop")
        self.assertNotIn(old.secret, [k.secret for k in keyfile.read(self.path)])

    def test_faults_are_named(self):
        for text, words in (
            ("", "no key file"),
            ('{"version":2,"keys":[]}', "version 2"),
            ('{"version":1,"keys":[]}', "1 to 8"),
            ('{"version":1,"keys":[{"key":"!!","made":""}]}', "no key file"),
            ('{"version":1,"keys":[{"key":"AAAA","made":""}]}', "32 bytes"),
        ):
            Path(self.path).write_text(text)
            os.chmod(self.path, 0o600)
            with self.assertRaisesRegex(keyfile.KeyFileError, words):
                keyfile.read(self.path)
        os.chmod(self.path, 0o640)
        with self.assertRaisesRegex(keyfile.KeyFileError, "chmod 0600"):
            keyfile.read(self.path)
