"""The handoff's store: what outlives a process, and what counts as forgotten."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from dataclasses import replace

from decklb.handoff.records import Outcome
from decklb.handoff.settings import HandoffSettings
from decklb.handoff.store import Kept, Store, StoreError
from decklb.handoff.table import Table
from decklb.lab.checks.execution_verdict import judge
from decklb.lab.fault_runs.handoff_run import Fleet, Setup
from tests.test_handoff import record
from tests.test_handoff_program import Session, final


class Folders(unittest.TestCase):
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

    def test_what_was_written_is_found_by_the_next_process(self):
        kept = Kept("k", record().sent("e1"), b"body", (2, "s1"))
        gone = Kept("g", record("g"), b"body", None)
        self.assertEqual(self.opened(writes={"k": kept, "g": gone}), (7, 1000.0, []))
        self.assertEqual(self.opened(memory=8, now=2000.0, writes={"g": None})[:2], (7, 1000.0))
        self.assertEqual(self.opened(memory=9, now=3000.0), (7, 1000.0, [kept]))

    def test_another_member_or_start_of_the_machine_begins_without_memory(self):
        self.opened(writes={"k": Kept("k", record(), b"body", None)})
        self.assertEqual(self.opened(boot="b2", memory=8, now=5.0), (8, 5.0, []))
        self.assertEqual(self.opened(member="m1", boot="b2", memory=9, now=6.0), (9, 6.0, []))
        self.assertEqual(self.opened(member="m1", boot="", memory=10, now=7.0), (10, 7.0, []))  # nobody can say

    def test_a_folder_that_can_t_be_used_or_is_full_says_so(self):
        with open(self.path, "w"):
            pass
        with self.assertRaisesRegex(StoreError, "m0"):
            Store(self.path, 1 << 20)
        self.path += "x"
        store = Store(self.path, 1)
        self.addCleanup(store.close)
        store.open("m0", 1, 0.0, "b")
        with self.assertRaisesRegex(StoreError, "(?i)full"):
            store.write({f"k{i}": Kept(f"k{i}", None, b"x" * (1 << 20), None) for i in range(100)})

    def test_a_table_restored_grants_and_admits_as_before(self):
        settings = HandoffSettings()
        table = Table(settings)
        table.receive(record(), 1e4, 0.0, b"body")
        table.grant("k", (3, "s2"), 0.0)
        answered = replace(record("a"), deadline=1e4).sent("e").answered(Outcome.SERVED, b"rows", 100)
        table.write(answered)
        self.assertEqual(list(table.touched), ["k", "a"])
        again = Table(settings)
        for key in table.touched:
            again.restore(key, table.get(key), table.body(key), table.promises.granted(key), 0.0)
        self.assertFalse(again.grant("k", (3, "s1"), 0.0))
        self.assertFalse(again.promises.admits(record()))
        self.assertEqual((again.body("k"), again.held), (b"body", table.held))
        self.assertEqual(again.lookup("a", answered.digest).answer, b"rows")


class Restarts(unittest.TestCase):
    def fleet_of(self, longest, seed, index):
        """Managers that keep their records on disk, not yet started, and a loop to drive them."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        runner = asyncio.Runner()
        self.addCleanup(runner.close)
        fleet = Fleet(Setup(data=True, longest=longest), seed, folder.name, index)
        self.addCleanup(lambda: runner.run(fleet.stop()))
        return runner, fleet

    def in_turn(self, fleet, key, runs):
        """A read ran that often, never twice at one moment; more often only where a lease ended."""
        found = sum(x.key == key and x.what == "start" for x in fleet.witnessed())
        more = fleet.logged(f"handoff-lease-ended key={key}")
        self.assertTrue(runs <= found <= runs + more, (found, runs, more))
        self.assertFalse(judge([], fleet.witnessed(), "load").overlapping)

    def test_a_successor_that_dies_during_the_takeover_is_followed_by_another(self):
        runner, fleet = self.fleet_of(12_000.0, seed=6, index=61)
        sql = "select 1 -- run=chain work=1000"

        def starts():
            return [x for x in fleet.witnessed() if x.key == "chain" and x.what == "start"]

        async def until(condition):
            for _ in range(2000):
                if condition():
                    return
                await asyncio.sleep(0.01)
            raise AssertionError("it did not come about")

        async def play():
            await fleet.start()
            await fleet.remember()
            first = asyncio.ensure_future(asyncio.to_thread(lambda: Session(fleet, "m0", "read", "chain").run(sql)))
            await until(lambda: len(starts()) == 1)
            await fleet.managers["m0"].kill()
            await until(lambda: len(starts()) == 2)  # the successor has taken over, and runs it
            successor = fleet.names[starts()[1].manager]
            await fleet.managers[successor].kill()
            self.assertIsNone(await first)
            await fleet.up("m0")  # with what it kept it is the second of two voters
            last = next(n for n in fleet.names if n not in ("m0", successor))
            return await asyncio.to_thread(final, fleet, last, "read", "chain", sql)

        row = runner.run(play())
        self.assertTrue(row.startswith("chain/"))
        self.in_turn(fleet, "chain", 3)

    def test_answers_and_work_in_hand_outlive_all_managers_at_once(self):
        runner, fleet = self.fleet_of(14_000.0, seed=5, index=60)

        def ask(name, lane, key, sql):
            return runner.run(asyncio.to_thread(final, fleet, name, lane, key, sql))

        async def kill_all_under(key, sql):
            running = asyncio.ensure_future(asyncio.to_thread(lambda: Session(fleet, "m0", "read", key).run(sql)))
            while not any(x.key == key for x in fleet.witnessed()):
                await asyncio.sleep(0.01)
            for name in fleet.names:
                await fleet.managers[name].kill()
            said = await running
            await asyncio.gather(*(fleet.up(n) for n in fleet.names))
            return said

        runner.run(fleet.start())
        runner.run(fleet.remember())
        done = "select 1 -- run=done work=5"
        row = ask("m1", "load", "done", done)
        held = "select 1 -- run=held work=1500"
        self.assertIsNone(runner.run(kill_all_under("held", held)))
        self.assertTrue(ask("m2", "read", "held", held).startswith("held/"))
        self.assertEqual(ask("m2", "load", "done", done), row)
        self.in_turn(fleet, "held", 2)
        self.assertEqual(sum(x.key == "done" and x.what == "start" for x in fleet.witnessed()), 1)
