"""The handoff's decisions, without a loop: records, placement, the table, fencing, takeover."""

import unittest
from dataclasses import replace

import msgspec.structs

from decklb.handoff.claims import Claim
from decklb.handoff.coordinator import HandoffCoordinator
from decklb.handoff.errors import KeyReusedError, RecordLimitError
from decklb.handoff.placement import Placement
from decklb.handoff.record_table import RecordTable
from decklb.handoff.records import Outcome, Record, Stage, fingerprint
from decklb.handoff.settings import HandoffSettings
from decklb.handoff.takeover_policy import TakeoverAction, claim_rank, decide_takeover
from decklb.interface import Effect
from decklb.lab.handoff import play

SETTINGS = HandoffSettings(
    max_records=4, lease_ms=1000.0, max_clock_drift=0.0, answer_retention_ms=100.0, deadline_grace_ms=0.0
)
VOTERS = ("s1", "s2", "s3")


def record(key="k", effect=Effect.SAFE, **changes):
    made = Record(key, "o", 1, 0, "cusco", "consulta", effect, 5000.0, fingerprint(key.encode()), voters=VOTERS)
    return msgspec.structs.replace(made, **changes)


class Records(unittest.TestCase):
    def test_a_copy_replaces_only_an_older_one(self):
        first = record()
        sent = first.with_attempt("e1")
        self.assertTrue(sent.supersedes(first))
        self.assertFalse(first.supersedes(sent))
        self.assertTrue(first.transferred_to("s1", 2).supersedes(sent))

    def test_of_an_answer_too_large_to_copy_only_the_outcome_is(self):
        large = record().with_attempt("e1").with_answer(Outcome.SERVED, b"x" * 10, max_answer_bytes=9)
        self.assertEqual(
            (large.stage, large.outcome, large.answer, large.answer_retained),
            (Stage.ANSWERED, Outcome.SERVED, b"", False),
        )
        small = record().with_attempt("e1").with_answer(Outcome.SERVED, b"x" * 9, max_answer_bytes=9)
        self.assertEqual((small.stage, small.answer, small.answer_retained), (Stage.ANSWERED, b"x" * 9, True))


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
        table = RecordTable(SETTINGS)
        table.add(record())
        self.assertEqual(table.add(record()).key, "k")
        with self.assertRaises(KeyReusedError):
            table.add(record(request_digest=fingerprint(b"other")))
        with self.assertRaises(KeyReusedError):
            table.lookup("k", fingerprint(b"other"))

    def test_no_more_records_than_the_room(self):
        table = RecordTable(SETTINGS)
        for i in range(4):
            table.add(record(f"k{i}"))
        with self.assertRaises(RecordLimitError):
            table.add(record("k9"))
        self.assertFalse(table.receive_replica(record("k8"), 100.0, 0.0))

    def test_a_copy_reckons_its_deadline_on_the_receivers_clock_and_lingers_out(self):
        table = RecordTable(SETTINGS)
        self.assertTrue(table.receive_replica(record(deadline_ms=1e12), remaining_ms=300.0, now=50.0))
        self.assertEqual(table.get("k").deadline_ms, 350.0)
        self.assertEqual(table.expire(449.0), [])
        self.assertEqual(table.expire(451.0), ["k"])
        self.assertFalse(table.lookup("k", record().request_digest).known)

    def test_what_is_held_is_bounded_in_bytes_and_counted_back(self):
        table = RecordTable(replace(SETTINGS, max_bytes=100))
        table.add(record("a"), b"x" * 60)
        with self.assertRaises(RecordLimitError):
            table.add(record("b"), b"x" * 60)
        table.write(
            record("a").with_attempt("e").with_answer(Outcome.SERVED, b"y" * 10, 100)
        )  # the request itself goes
        self.assertEqual((table.bytes_retained, table.body("a")), (10, None))
        table.add(record("b"), b"x" * 60)
        table.remove("a")
        self.assertEqual(table.bytes_retained, 60)
        table.expire(1e9)
        self.assertEqual((table.bytes_retained, len(table)), (0, 0))

    def test_a_copy_of_a_term_a_claim_has_passed_is_not_acknowledged(self):
        table = RecordTable(SETTINGS)
        self.assertTrue(table.receive_replica(record(), 1000.0, 0.0))
        self.assertTrue(table.ballots.grant("k", (2, "s1")))
        self.assertFalse(table.receive_replica(record().with_attempt("e1"), 1000.0, 0.0))  # arrives after the takeover
        self.assertTrue(table.receive_replica(record().transferred_to("s1", 2).with_attempt("e2"), 1000.0, 0.0))
        self.assertEqual(table.lookup("k", record().request_digest).holder, "s1")

    def test_a_client_that_comes_back_gets_the_answer_held(self):
        table = RecordTable(SETTINGS)
        table.receive_replica(record().with_attempt("e1").with_answer(Outcome.SERVED, b"rows", 100), 1000.0, 0.0)
        found = table.lookup("k", record().request_digest)
        self.assertEqual((found.outcome, found.answer), (Outcome.SERVED, b"rows"))


class Takeovers(unittest.TestCase):
    CASES = [  # stage, effect, now, action, reason
        (Stage.QUEUED, Effect.UNSAFE, 0.0, TakeoverAction.SEND, "never-ran"),
        (Stage.SENT, Effect.SAFE, 0.0, TakeoverAction.SEND, "repeatable"),
        (Stage.SENT, Effect.KEYED, 0.0, TakeoverAction.SEND_WITH_KEY, "deduplicated"),
        (Stage.SENT, Effect.UNSAFE, 0.0, TakeoverAction.FAIL, "in-doubt"),
        (Stage.SENT, Effect.SAFE, 6000.0, TakeoverAction.FAIL, "deadline"),
        (Stage.ANSWERED, Effect.UNSAFE, 6000.0, TakeoverAction.RETURN_ANSWER, "answered"),
    ]

    def test_what_is_sent_again_follows_what_is_proven(self):
        for stage, effect, now, action, reason in self.CASES:
            with self.subTest(stage=stage, effect=effect):
                made = decide_takeover(record(effect=effect, stage=stage), now, SETTINGS)
                self.assertEqual((made.action, made.reason), (action, reason))
                if action is TakeoverAction.FAIL:
                    self.assertEqual(made.record.outcome, Outcome.FAILED)

    def test_a_bounced_attempt_may_be_sent_by_anyone(self):
        bounced = record(effect=Effect.UNSAFE).with_attempt("e1").with_attempt_rejected()
        self.assertEqual(decide_takeover(bounced, 0.0, SETTINGS).action, TakeoverAction.SEND)

    def test_voters_claim_in_turns_and_none_while_the_owner_lives_in_its_run(self):
        held = record(holder_incarnation=7)
        self.assertEqual([claim_rank(held, v, {"s2": 1, "s3": 1}) for v in VOTERS], [None, 0, 1])
        self.assertEqual(claim_rank(held, "s1", {"o": 7, "s1": 1}), None)
        self.assertEqual(claim_rank(held, "s1", {"o": 8, "s1": 1}), 0)  # it came back, and knows nothing
        self.assertEqual(claim_rank(held, "o", {"o": 8, "s1": 1}), None)  # it is no voter
        self.assertEqual(claim_rank(record(holder_incarnation=7, voters=("o", "s1")), "o", {"o": 8, "s1": 1}), 1)

    def test_an_answer_that_was_not_kept_is_sought_again_only_where_that_is_harmless(self):
        for effect, action in ((Effect.SAFE, TakeoverAction.SEND), (Effect.UNSAFE, TakeoverAction.RETURN_ANSWER)):
            large = record(effect=effect).with_attempt("e1").with_answer(Outcome.SERVED, b"xx", 1)
            self.assertEqual(decide_takeover(large, 0.0, SETTINGS).action, action)

    def test_of_two_claims_at_once_only_the_higher_is_admitted_by_a_quorum(self):
        tables = {v: RecordTable(SETTINGS) for v in VOTERS}
        for table in tables.values():
            table.receive_replica(record(), 1000.0, 0.0)
        first, second = tables["s1"].start_claim("k", "s1"), tables["s2"].start_claim("k", "s2")
        for claim, voter in ((second, "s3"), (first, "s3"), (first, "s2")):
            if tables[voter].ballots.grant("k", claim.ballot):
                claim.add_grant(voter, record(), 0.0)
            else:
                claim.add_rejection(voter)
        self.assertEqual(first.rejections, {"s3"})  # which had granted the higher one
        for claim, me in ((first, "s1"), (second, "s2")):  # a claimer's own grant comes last
            self.assertTrue(claim.needs_own_grant() and tables[me].ballots.grant("k", claim.ballot))
            claim.add_grant(me, record(), 0.0)
        admitted = [
            [v for v in VOTERS if tables[v].ballots.admits(claim.claimed_record())] for claim in (first, second)
        ]
        self.assertEqual(admitted, [["s1"], ["s2", "s3"]])

    def test_the_claimer_takes_the_newest_record_a_grant_brings(self):
        claim = Claim.start(record(), "s1", SETTINGS)
        claim.add_grant("s2", record().with_attempt("e1"), now=10.0)
        claim.add_grant("s1", record(), now=10.0)
        self.assertEqual(
            (claim.claimed_record().stage, claim.claimed_record().term, claim.claimed_record().holder),
            (Stage.SENT, 2, "s1"),
        )
        self.assertEqual(claim.effective_from(), 1010.0)


class Voteless(HandoffCoordinator):
    """Grants and acknowledges whatever it may have forgotten."""

    def __init__(self, *args):
        super().__init__(*args)
        self.memory.covers = lambda now, key_generated, age_ms: True


class Hasty(HandoffCoordinator):
    """Sends without waiting for a quorum to know."""

    def begin_attempt(self, now, key, engine, on_quorum):
        super().begin_attempt(now, key, engine, lambda reached: None)
        on_quorum(self.held(key) is not None)


class Forgiving(HandoffCoordinator):
    """Gives an answer before a quorum has it."""

    def complete(self, now, key, outcome, answer, reason, on_quorum):
        super().complete(now, key, outcome, answer, reason, lambda reached: None)
        on_quorum(True)


class Networks(unittest.TestCase):
    """Seeded runs of whole coordinators with losses, cuts, deaths, returns without memory and wrong suspicions."""

    def test_nothing_is_lost_or_doubled_where_faults_come_one_at_a_time(self):
        for members in (3, 5):
            played = [play(seed, members) for seed in range(40)]
            self.assertEqual(
                [(i, v.lost, v.doubled, v.repeated, v.overlapping) for i, v in enumerate(played) if not v.clean], []
            )
            self.assertGreater(sum(v.came_back for v in played), 100)  # clients do come back for their answers

    def test_nothing_is_doubled_whatever_strikes(self):
        self.assertEqual(list(self.doubled(HandoffCoordinator, 80)), [])

    def test_a_rule_left_out_is_seen(self):
        for coordinator in (Voteless, Hasty, Forgiving):
            with self.subTest(coordinator.__name__):
                self.assertTrue(any(self.doubled(coordinator, 80)))  # up to the first seed that shows it

    @staticmethod
    def doubled(coordinator, seeds):
        for seed in range(seeds):
            v = play(seed, harsh=True, coordinator=coordinator)
            if v.doubled or v.repeated or v.overlapping:
                yield seed, v.doubled, v.repeated, v.overlapping
