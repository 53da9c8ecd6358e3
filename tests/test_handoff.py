"""The handoff's decisions, without a loop: records, placement, the table, fencing, takeover."""

import unittest
from dataclasses import replace

from decklb.handoff.errors import KeyReused, TableFull
from decklb.handoff.fencing import Claim
from decklb.handoff.keeper import Keeper
from decklb.handoff.placement import Placement
from decklb.handoff.records import Outcome, Record, Stage, fingerprint
from decklb.handoff.settings import HandoffSettings
from decklb.handoff.table import Table
from decklb.handoff.takeover import Step, decide, turn
from decklb.interface import Effect
from decklb.lab.emulation.simulated_handoff import play

SETTINGS = HandoffSettings(capacity=4, lease=1000.0, drift=0.0, linger=100.0, slack=0.0)
VOTERS = ("s1", "s2", "s3")


def record(key="k", effect=Effect.SAFE, **changes):
    made = Record(key, "o", 1, 0, "cusco", "consulta", effect, 5000.0, fingerprint(key.encode()), voters=VOTERS)
    return replace(made, **changes)


class Records(unittest.TestCase):
    def test_a_copy_replaces_only_an_older_one(self):
        first = record()
        sent = first.sent("e1")
        self.assertTrue(sent.newer(first))
        self.assertFalse(first.newer(sent))
        self.assertTrue(first.taken("s1", 2).newer(sent))

    def test_of_an_answer_too_large_to_copy_only_the_outcome_is(self):
        large = record().sent("e1").answered(Outcome.SERVED, b"x" * 10, room=9)
        self.assertEqual(
            (large.stage, large.outcome, large.answer, large.kept), (Stage.ANSWERED, Outcome.SERVED, b"", False)
        )
        small = record().sent("e1").answered(Outcome.SERVED, b"x" * 9, room=9)
        self.assertEqual((small.stage, small.answer, small.kept), (Stage.ANSWERED, b"x" * 9, True))


class Places(unittest.TestCase):
    def test_a_member_that_goes_moves_only_the_keys_it_held(self):
        placement = Placement(64)
        members = [f"m{i}" for i in range(12)]
        placement.set_members(members)
        keys = [f"key-{i}" for i in range(300)]
        before = {k: placement.voters(k, 3) for k in keys}
        placement.set_members(members[:-1])
        after = {k: placement.voters(k, 3) for k in keys}
        moved = [k for k in keys if before[k] != after[k]]
        self.assertTrue(moved)
        self.assertTrue(all("m11" in before[k] for k in moved))
        self.assertTrue(all(len(v) == 3 for v in after.values()))


class Tables(unittest.TestCase):
    def test_a_key_given_to_another_request_is_refused_by_name(self):
        table = Table(SETTINGS)
        table.take(record())
        self.assertEqual(table.take(record()).key, "k")
        with self.assertRaises(KeyReused):
            table.take(record(digest=fingerprint(b"other")))
        with self.assertRaises(KeyReused):
            table.lookup("k", fingerprint(b"other"))

    def test_no_more_records_than_the_room(self):
        table = Table(SETTINGS)
        for i in range(4):
            table.take(record(f"k{i}"))
        with self.assertRaises(TableFull):
            table.take(record("k9"))
        self.assertFalse(table.receive(record("k8"), 100.0, 0.0))

    def test_a_copy_reckons_its_deadline_on_the_receivers_clock_and_lingers_out(self):
        table = Table(SETTINGS)
        self.assertTrue(table.receive(record(deadline=1e12), left=300.0, now=50.0))
        self.assertEqual(table.get("k").deadline, 350.0)
        self.assertEqual(table.expire(449.0), [])
        self.assertEqual(table.expire(451.0), ["k"])
        self.assertFalse(table.lookup("k", record().digest).known)

    def test_what_is_held_is_bounded_in_bytes_and_counted_back(self):
        table = Table(replace(SETTINGS, room=100))
        table.take(record("a"), b"x" * 60)
        with self.assertRaises(TableFull):
            table.take(record("b"), b"x" * 60)
        table.write(record("a").sent("e").answered(Outcome.SERVED, b"y" * 10, 100))  # the request itself goes
        self.assertEqual((table.held, table.body("a")), (10, None))
        table.take(record("b"), b"x" * 60)
        table.drop("a")
        self.assertEqual(table.held, 60)
        table.expire(1e9)
        self.assertEqual((table.held, len(table)), (0, 0))

    def test_a_copy_of_a_term_a_claim_has_passed_is_not_acknowledged(self):
        table = Table(SETTINGS)
        self.assertTrue(table.receive(record(), 1000.0, 0.0))
        self.assertTrue(table.promises.grant("k", (2, "s1")))
        self.assertFalse(table.receive(record().sent("e1"), 1000.0, 0.0))  # arrives after the takeover
        self.assertTrue(table.receive(record().taken("s1", 2).sent("e2"), 1000.0, 0.0))
        self.assertEqual(table.lookup("k", record().digest).owner, "s1")

    def test_a_client_that_comes_back_gets_the_answer_held(self):
        table = Table(SETTINGS)
        table.receive(record().sent("e1").answered(Outcome.SERVED, b"rows", 100), 1000.0, 0.0)
        found = table.lookup("k", record().digest)
        self.assertEqual((found.outcome, found.answer), (Outcome.SERVED, b"rows"))


class Takeovers(unittest.TestCase):
    CASES = [  # stage, effect, now, step, reason
        (Stage.QUEUED, Effect.UNSAFE, 0.0, Step.SEND, "never-ran"),
        (Stage.SENT, Effect.SAFE, 0.0, Step.SEND, "repeatable"),
        (Stage.SENT, Effect.KEYED, 0.0, Step.SEND_KEYED, "deduplicated"),
        (Stage.SENT, Effect.UNSAFE, 0.0, Step.FAIL, "in-doubt"),
        (Stage.SENT, Effect.SAFE, 6000.0, Step.FAIL, "deadline"),
        (Stage.ANSWERED, Effect.UNSAFE, 6000.0, Step.HOLD, "answered"),
    ]

    def test_what_is_sent_again_follows_what_is_proven(self):
        for stage, effect, now, step, reason in self.CASES:
            with self.subTest(stage=stage, effect=effect):
                made = decide(record(effect=effect, stage=stage), now, SETTINGS)
                self.assertEqual((made.step, made.reason), (step, reason))
                if step is Step.FAIL:
                    self.assertEqual(made.record.outcome, Outcome.FAILED)

    def test_a_bounced_attempt_may_be_sent_by_anyone(self):
        bounced = record(effect=Effect.UNSAFE).sent("e1").bounced()
        self.assertEqual(decide(bounced, 0.0, SETTINGS).step, Step.SEND)

    def test_voters_claim_in_turns_and_none_while_the_owner_lives_in_its_run(self):
        held = record(run=7)
        self.assertEqual([turn(held, v, {"s2": 1, "s3": 1}) for v in VOTERS], [None, 0, 1])
        self.assertEqual(turn(held, "s1", {"o": 7, "s1": 1}), None)
        self.assertEqual(turn(held, "s1", {"o": 8, "s1": 1}), 0)  # it came back, and knows nothing
        self.assertEqual(turn(held, "o", {"o": 8, "s1": 1}), None)  # it is no voter
        self.assertEqual(turn(record(run=7, voters=("o", "s1")), "o", {"o": 8, "s1": 1}), 1)

    def test_an_answer_that_was_not_kept_is_sought_again_only_where_that_is_harmless(self):
        for effect, step in ((Effect.SAFE, Step.SEND), (Effect.UNSAFE, Step.HOLD)):
            large = record(effect=effect).sent("e1").answered(Outcome.SERVED, b"xx", 1)
            self.assertEqual(decide(large, 0.0, SETTINGS).step, step)

    def test_of_two_claims_at_once_only_the_higher_is_admitted_by_a_quorum(self):
        tables = {v: Table(SETTINGS) for v in VOTERS}
        for table in tables.values():
            table.receive(record(), 1000.0, 0.0)
        first, second = tables["s1"].claim("k", "s1"), tables["s2"].claim("k", "s2")
        for claim, voter in ((second, "s3"), (first, "s3"), (first, "s2")):
            if tables[voter].promises.grant("k", claim.ballot):
                claim.grant(voter, record(), 0.0)
            else:
                claim.refuse(voter)
        self.assertEqual(first.refused, {"s3"})  # which had granted the higher one
        for claim, me in ((first, "s1"), (second, "s2")):  # a claimer's own grant comes last
            self.assertTrue(claim.wants_own() and tables[me].promises.grant("k", claim.ballot))
            claim.grant(me, record(), 0.0)
        admitted = [[v for v in VOTERS if tables[v].promises.admits(claim.newest())] for claim in (first, second)]
        self.assertEqual(admitted, [["s1"], ["s2", "s3"]])

    def test_the_claimer_takes_the_newest_record_a_grant_brings(self):
        claim = Claim.start(record(), "s1", SETTINGS)
        claim.grant("s2", record().sent("e1"), now=10.0)
        claim.grant("s1", record(), now=10.0)
        self.assertEqual((claim.newest().stage, claim.newest().term, claim.newest().owner), (Stage.SENT, 2, "s1"))
        self.assertEqual(claim.acts_from(), 1010.0)


class Voteless(Keeper):
    """Grants and acknowledges whatever it may have forgotten."""

    def _fit(self, now, made, age):
        return True


class Hasty(Keeper):
    """Sends without waiting for a quorum to know."""

    def sending(self, now, key, engine, call):
        super().sending(now, key, engine, lambda ok: None)
        call(key in self.holds)


class Forgiving(Keeper):
    """Gives an answer before a quorum has it."""

    def answered(self, now, key, outcome, answer, reason, call):
        super().answered(now, key, outcome, answer, reason, lambda ok: None)
        call(True)


class Networks(unittest.TestCase):
    """Seeded runs of whole keepers with losses, cuts, deaths, returns without memory and wrong suspicions."""

    def test_nothing_is_lost_or_doubled_where_faults_come_one_at_a_time(self):
        for members in (3, 5):
            played = [play(seed, members) for seed in range(40)]
            self.assertEqual(
                [(i, v.lost, v.doubled, v.repeated, v.overlapping) for i, v in enumerate(played) if not v.clean], []
            )
            self.assertGreater(sum(v.came_back for v in played), 100)  # clients do come back for their answers

    def test_nothing_is_doubled_whatever_strikes(self):
        self.assertEqual(list(self.doubled(Keeper, 80)), [])

    def test_a_rule_left_out_is_seen(self):
        for keeper in (Voteless, Hasty, Forgiving):
            with self.subTest(keeper.__name__):
                self.assertTrue(any(self.doubled(keeper, 80)))  # up to the first seed that shows it

    @staticmethod
    def doubled(keeper, seeds):
        for seed in range(seeds):
            v = play(seed, harsh=True, keeper=keeper)
            if v.doubled or v.repeated or v.overlapping:
                yield seed, v.doubled, v.repeated, v.overlapping
