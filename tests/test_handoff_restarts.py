"""Real managers that keep their records on disk: what outlives the loss of one after another, or of all at once."""

from __future__ import annotations

import asyncio
import tempfile
import unittest

from decklb.lab.checks.execution_verdict import judge
from decklb.lab.fault_runs.handoff_run import Fleet, Setup
from tests.handoff_clients import Session, final


class RestartTest(unittest.TestCase):
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
        found = sum(x.key == key and x.what == "start" for x in fleet.execution_events())
        more = fleet.count_log_lines(f"handoff-lease-ended key={key}")
        self.assertTrue(runs <= found <= runs + more, (found, runs, more))
        self.assertFalse(judge([], fleet.execution_events(), "load").overlapping)

    def test_another_member_follows_a_successor_that_dies_during_the_takeover(self):
        runner, fleet = self.fleet_of(12_000.0, seed=6, index=61)
        sql = "select 1 -- run=chain work=1000"

        def starts():
            return [x for x in fleet.execution_events() if x.key == "chain" and x.what == "start"]

        async def until(condition):
            for _ in range(2000):
                if condition():
                    return
                await asyncio.sleep(0.01)
            raise AssertionError("it did not come about")

        async def play():
            await fleet.start()
            await fleet.wait_until_members_vote()
            first = asyncio.ensure_future(asyncio.to_thread(lambda: Session(fleet, "m0", "read", "chain").run(sql)))
            await until(lambda: len(starts()) == 1)
            await fleet.managers["m0"].kill()
            await until(lambda: len(starts()) == 2)  # the successor has taken over, and runs it
            successor = fleet.names[starts()[1].manager]
            await fleet.managers[successor].kill()
            self.assertIsNone(await first)
            await fleet.start_manager("m0")  # with what it kept it is the second of two voters
            last = next(n for n in fleet.names if n not in ("m0", successor))
            return await asyncio.to_thread(final, fleet, last, "read", "chain", sql)

        row = runner.run(play())
        self.assertTrue(row.startswith("chain/"))
        self.in_turn(fleet, "chain", 3)

    def test_answers_and_in_flight_requests_outlive_a_loss_of_all_managers(self):
        runner, fleet = self.fleet_of(14_000.0, seed=5, index=60)

        def ask(name, lane, key, sql):
            return runner.run(asyncio.to_thread(final, fleet, name, lane, key, sql))

        async def kill_all_under(key, sql):
            running = asyncio.ensure_future(asyncio.to_thread(lambda: Session(fleet, "m0", "read", key).run(sql)))
            while not any(x.key == key for x in fleet.execution_events()):
                await asyncio.sleep(0.01)
            for name in fleet.names:
                await fleet.managers[name].kill()
            said = await running
            await asyncio.gather(*(fleet.start_manager(n) for n in fleet.names))
            return said

        runner.run(fleet.start())
        runner.run(fleet.wait_until_members_vote())
        done = "select 1 -- run=done work=5"
        row = ask("m1", "load", "done", done)
        held = "select 1 -- run=held work=1500"
        self.assertIsNone(runner.run(kill_all_under("held", held)))
        self.assertTrue(ask("m2", "read", "held", held).startswith("held/"))
        self.assertEqual(ask("m2", "load", "done", done), row)
        self.in_turn(fleet, "held", 2)
        self.assertEqual(sum(x.key == "done" and x.what == "start" for x in fleet.execution_events()), 1)
