"""The handoff's decisions, without a loop: records, placement, the table, fencing, takeover."""

import unittest
from dataclasses import replace

from decklb.handoff.errors import KeyReused, TableFull
from decklb.handoff.fencing import Claim
from decklb.handoff.placement import Placement
from decklb.handoff.records import Outcome, Record, Stage, fingerprint
from decklb.handoff.settings import HandoffSettings
from decklb.handoff.table import Table
from decklb.handoff.takeover import Step, claimer, decide
from decklb.interface import Effect
from decklb.lab.handoff import play

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

    def test_an_answer_too_large_to_copy_leaves_the_request_sent(self):
        sent = record().sent("e1")
        self.assertEqual(sent.answered(Outcome.SERVED, b"x" * 10, room=9).stage, Stage.SENT)
        self.assertEqual(sent.answered(Outcome.SERVED, b"x" * 9, room=9).stage, Stage.ANSWERED)


class Places(unittest.TestCase):
    def test_a_member_that_goes_moves_only_the_keys_it_held(self):
        placement = Placement(64)
        members = [f"m{i}" for i in range(12)]
        placement.set_members(members)
        keys = [f"key-{i}" for i in range(300)]
        before = {k: placement.successors(k, "m0", 3) for k in keys}
        placement.set_members(members[:-1])
        after = {k: placement.successors(k, "m0", 3) for k in keys}
        moved = [k for k in keys if before[k] != after[k]]
        self.assertTrue(moved)
        self.assertTrue(all("m11" in before[k] for k in moved))
        self.assertTrue(all("m0" not in s for s in after.values()))


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
        self.assertEqual(table.expire(449.0), 0)
        self.assertEqual(table.expire(451.0), 1)
        self.assertFalse(table.lookup("k", record().digest).known)

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
        (Stage.DELIVERED, Effect.SAFE, 0.0, Step.KEEP, "delivered"),
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

    def test_the_first_voter_alive_claims_and_none_while_the_owner_lives(self):
        self.assertEqual(claimer(record(), {"s2", "s3"}), "s2")
        self.assertIsNone(claimer(record(), {"o", "s1"}))

    def test_a_claim_below_one_granted_is_refused(self):
        tables = {v: Table(SETTINGS) for v in VOTERS}
        for table in tables.values():
            table.receive(record(), 1000.0, 0.0)
        first, second = tables["s1"].claim("k", "s1"), tables["s2"].claim("k", "s2")
        for claim, voter in ((second, "s3"), (first, "s3"), (first, "s2")):
            if tables[voter].promises.grant("k", claim.ballot):
                claim.grant(voter, record(), 0.0)
            else:
                claim.refuse(voter)
        self.assertEqual([first.won_at is not None, second.won_at is not None], [False, True])
        self.assertTrue(first.lost())

    def test_the_claimer_takes_the_newest_record_a_grant_brings(self):
        claim = Claim.start(record(), "s1", SETTINGS)
        claim.grant("s2", record().sent("e1"), now=10.0)
        self.assertEqual((claim.newest().stage, claim.newest().term, claim.newest().owner), (Stage.SENT, 2, "s1"))
        self.assertEqual(claim.acts_from(), 1010.0)


class Fencing(unittest.TestCase):
    """Seeded runs of one record among an owner and three voters, with losses, cuts and deaths: never two acting."""

    def test_never_two_members_act_on_one_request(self):
        played = [play(seed, SETTINGS, VOTERS) for seed in range(300)]
        self.assertEqual([(p.seed, p.overlaps[0]) for p in played if p.overlaps], [])
        self.assertGreater(sum(p.acting for p in played) / len(played), 0.3)  # someone acts most of the time
        self.assertGreater(sum(p.taken for p in played), 20)  # and the request is taken over often
