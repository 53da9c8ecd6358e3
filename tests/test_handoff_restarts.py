"""Real managers that store their records on disk: requests survive the loss of managers in turn, or of all at once."""

from __future__ import annotations

import asyncio
import tempfile
import unittest

from decklb.lab.checks.execution_verdict import judge
from decklb.lab.fault_runs.handoff_fleet import Fleet, Setup
from tests.handoff_clients import Session, final_answer


class RestartTest(unittest.TestCase):
    def make_fleet(self, longest, seed, index):
        """Return a runner, and a fleet that stores its records on disk and is not started yet."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        runner = asyncio.Runner()
        self.addCleanup(runner.close)
        fleet = Fleet(Setup(data=True, longest=longest), seed, folder.name, index)
        self.addCleanup(lambda: runner.run(fleet.stop()))
        return runner, fleet

    def assert_runs_do_not_overlap(self, fleet, key, runs):
        """A read ran `runs` times without overlap; one more run is allowed for each lease that ended."""
        started = sum(x.key == key and x.what == "start" for x in fleet.execution_events())
        leases_ended = fleet.count_log_lines(f"handoff-lease-ended key={key}")
        self.assertTrue(runs <= started <= runs + leases_ended, (started, runs, leases_ended))
        self.assertFalse(judge([], fleet.execution_events(), "load").overlapping)

    def test_another_member_takes_over_if_the_new_holder_dies_during_its_takeover(self):
        runner, fleet = self.make_fleet(12_000.0, seed=6, index=61)
        sql = "select 1 -- run=chain work=1000"

        def starts():
            return [x for x in fleet.execution_events() if x.key == "chain" and x.what == "start"]

        async def until(condition):
            for _ in range(2000):
                if condition():
                    return
                await asyncio.sleep(0.01)
            raise AssertionError("the condition was not met within 2000 polls, 10 ms apart")

        async def play():
            await fleet.start()
            await fleet.wait_until_members_vote()
            first = asyncio.ensure_future(asyncio.to_thread(lambda: Session(fleet, "m0", "read", "chain").run(sql)))
            await until(lambda: len(starts()) == 1)
            await fleet.managers["m0"].kill()
            await until(lambda: len(starts()) == 2)  # the successor has taken over and runs the request
            successor = fleet.names[starts()[1].manager]
            await fleet.managers[successor].kill()
            self.assertIsNone(await first)
            await fleet.start_manager("m0")  # with its stored records it is the second of two voters
            last = next(n for n in fleet.names if n not in ("m0", successor))
            return await asyncio.to_thread(final_answer, fleet, last, "read", "chain", sql)

        row = runner.run(play())
        self.assertTrue(row.startswith("chain/"))
        self.assert_runs_do_not_overlap(fleet, "chain", 3)

    def test_answers_and_in_flight_requests_survive_the_loss_of_all_managers(self):
        runner, fleet = self.make_fleet(14_000.0, seed=5, index=60)

        def ask(name, class_name, key, sql):
            return runner.run(asyncio.to_thread(final_answer, fleet, name, class_name, key, sql))

        async def run_and_kill_all(key, sql):
            running = asyncio.ensure_future(asyncio.to_thread(lambda: Session(fleet, "m0", "read", key).run(sql)))
            while not any(x.key == key for x in fleet.execution_events()):
                await asyncio.sleep(0.01)
            for name in fleet.names:
                await fleet.managers[name].kill()
            answer = await running
            await asyncio.gather(*(fleet.start_manager(n) for n in fleet.names))
            return answer

        runner.run(fleet.start())
        runner.run(fleet.wait_until_members_vote())
        done_sql = "select 1 -- run=done work=5"
        row = ask("m1", "load", "done", done_sql)
        held_sql = "select 1 -- run=held work=1500"
        self.assertIsNone(runner.run(run_and_kill_all("held", held_sql)))
        self.assertTrue(ask("m2", "read", "held", held_sql).startswith("held/"))
        self.assertEqual(ask("m2", "load", "done", done_sql), row)
        self.assert_runs_do_not_overlap(fleet, "held", 2)
        self.assertEqual(sum(x.key == "done" and x.what == "start" for x in fleet.execution_events()), 1)
