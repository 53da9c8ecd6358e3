"""Records of in-flight requests: which one stands, and what is replicated of an answer."""

import unittest

from decklb.handoff.records import Outcome, Stage
from tests.handoff_samples import small_record as record


class RecordTest(unittest.TestCase):
    def test_replica_replaces_only_an_older_one(self):
        first = record()
        sent = first.with_attempt("e1")
        self.assertTrue(sent.supersedes(first))
        self.assertFalse(first.supersedes(sent))
        self.assertTrue(first.transferred_to("s1", 2).supersedes(sent))

    def test_only_the_outcome_of_an_answer_too_large_is_replicated(self):
        large = record().with_attempt("e1").with_answer(Outcome.SERVED, b"x" * 10, max_answer_bytes=9)
        self.assertEqual(
            (large.stage, large.outcome, large.answer, large.answer_retained),
            (Stage.ANSWERED, Outcome.SERVED, b"", False),
        )
        small = record().with_attempt("e1").with_answer(Outcome.SERVED, b"x" * 9, max_answer_bytes=9)
        self.assertEqual((small.stage, small.answer, small.answer_retained), (Stage.ANSWERED, b"x" * 9, True))
