"""The handoff's store: what outlives a process, and what counts as forgotten."""

from __future__ import annotations

import tempfile
import unittest

from msgspec.structs import replace

from decklb.handoff.errors import StoreError
from decklb.handoff.record_table import RecordTable
from decklb.handoff.records import Outcome
from decklb.handoff.settings import HandoffSettings
from decklb.handoff.store import Store, StoredEntry, StoredMemory
from tests.handoff_samples import small_record as record


class StoreTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = folder.name + "/m0"

    def opened(self, member="m0", boot="b1", memory=7, now=1000.0, writes=None):
        store = Store(self.path, 1 << 20)
        try:
            found = store.open(member, memory, now, boot)
            if writes:
                store.write(writes)
            return found
        finally:
            store.close()

    def test_entries_are_read_by_the_next_process(self):
        kept = StoredEntry("k", record().with_attempt("e1"), b"body", (2, "s1"))
        gone = StoredEntry("g", record("g"), b"body", None)
        self.assertEqual(self.opened(writes={"k": kept, "g": gone}), StoredMemory(7, 1000.0, []))
        reopened = self.opened(memory=8, now=2000.0, writes={"g": None})
        self.assertEqual((reopened.memory_id, reopened.since_ms), (7, 1000.0))
        self.assertEqual(self.opened(memory=9, now=3000.0), StoredMemory(7, 1000.0, [kept]))

    def test_another_member_or_boot_begins_an_empty_memory(self):
        self.opened(writes={"k": StoredEntry("k", record(), b"body", None)})
        self.assertEqual(self.opened(boot="b2", memory=8, now=5.0), StoredMemory(8, 5.0, []))
        self.assertEqual(self.opened(member="m1", boot="b2", memory=9, now=6.0), StoredMemory(9, 6.0, []))
        self.assertEqual(
            self.opened(member="m1", boot="", memory=10, now=7.0), StoredMemory(10, 7.0, [])
        )  # nobody can say

    def test_folder_that_is_unusable_or_full_raises_store_error(self):
        with open(self.path, "w"):
            pass
        with self.assertRaisesRegex(StoreError, "m0"):
            Store(self.path, 1 << 20)
        self.path += "x"
        store = Store(self.path, 1)
        self.addCleanup(store.close)
        store.open("m0", 1, 0.0, "b")
        with self.assertRaisesRegex(StoreError, "(?i)full"):
            store.write({f"k{i}": StoredEntry(f"k{i}", None, b"x" * (1 << 20), None) for i in range(100)})

    def test_restored_table_grants_and_admits_as_before(self):
        settings = HandoffSettings()
        table = RecordTable(settings)
        table.receive_replica(record(), 1e4, 0.0, b"body")
        table.grant("k", (3, "s2"), 0.0)
        answered = replace(record("a"), deadline_ms=1e4).with_attempt("e").with_answer(Outcome.SERVED, b"rows", 100)
        table.write(answered)
        self.assertEqual(list(table.changed_keys), ["k", "a"])
        again = RecordTable(settings)
        for key in table.changed_keys:
            again.restore(key, table.get(key), table.body(key), table.ballots.granted(key), 0.0)
        self.assertFalse(again.grant("k", (3, "s1"), 0.0))
        self.assertFalse(again.ballots.admits(record()))
        self.assertEqual((again.body("k"), again.bytes_retained), (b"body", table.bytes_retained))
        self.assertEqual(again.lookup("a", answered.request_digest).answer, b"rows")
