"""Real managers take over one another's requests: single scenarios, then runs with seeded faults."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import unittest

import psycopg

from decklb.lab.fault_runs.handoff_fleet import Fleet, Setup
from decklb.lab.fault_runs.handoff_run import campaign
from decklb.lab.faults.fault_schedule import FleetFault, FleetFaultKind, LinkConditions
from decklb.management.control_client import query
from tests.handoff_clients import Session, final_answer
from tests.standins import wait_for

SETUP = Setup()


class TakeoverTest(unittest.TestCase):
    """Scenarios on one fleet; each leaves all managers running and connected."""

    @classmethod
    def setUpClass(cls):
        cls.runner = asyncio.Runner()
        cls.folder = tempfile.TemporaryDirectory()
        cls.fleet = Fleet(SETUP, 3, cls.folder.name, index=40)
        cls.addClassCleanup(cls.folder.cleanup)
        cls.addClassCleanup(cls.runner.close)
        cls.addClassCleanup(lambda: cls.runner.run(cls.fleet.stop()))
        cls.runner.run(cls.fleet.start())
        cls.runner.run(cls.fleet.wait_until_members_vote())

    def run_in_thread(self, blocking_call, *concurrent_calls):
        """Run a blocking client in a thread, make the other calls meanwhile, 0.15 s apart, and return its result."""

        async def run():
            task = asyncio.ensure_future(asyncio.to_thread(blocking_call))
            for call in concurrent_calls:
                await asyncio.sleep(0.15)
                await call()
            return await task

        return self.runner.run(run())

    def client_call(self, call, *args):
        return self.run_in_thread(lambda: call(self.fleet, *args))

    async def _kill(self, name):
        await self.fleet.managers[name].kill()

    def executions(self, key, what="start"):
        """The engines' events of one kind for a key, in order of time."""
        return sorted((x for x in self.fleet.execution_events() if x.key == key and x.what == what), key=lambda x: x.at)

    def test_killed_managers_read_runs_once_more_and_its_load_ends_in_doubt(self):
        async def restart():
            await self.fleet.start_manager("m0")

        for class_name, key in (("read", "killed.read"), ("load", "killed.load")):
            sql = f"select 1 -- run={key} work=700"
            first = self.run_in_thread(
                lambda c=class_name, k=key, s=sql: Session(self.fleet, "m0", c, k).run(s), lambda: self._kill("m0")
            )
            self.assertIsNone(first)  # the connection was lost before a final answer
            answers = {self.client_call(final_answer, name, class_name, key, sql) for name in ("m1", "m2")}
            self.assertEqual(len(answers), 1)
            if class_name == "read":
                self.assertTrue(answers.pop().startswith("killed.read/"))
                self.assertEqual(len(self.executions(key)), 2)
            else:
                self.assertIn("40003", answers.pop())
                self.assertEqual(len(self.executions(key)), 1)
            self.runner.run(restart())
            self.runner.run(self.fleet.wait_until_members_vote())

    def test_unfinished_execution_of_a_killed_manager_is_cancelled_before_the_request_runs_again(self):
        sql = "select 1 -- run=long work=2000"
        self.assertIsNone(
            self.run_in_thread(lambda: Session(self.fleet, "m0", "read", "long").run(sql), lambda: self._kill("m0"))
        )
        self.assertTrue(self.client_call(final_answer, "m1", "read", "long", sql).startswith("long/"))
        (first, second), (cancelled,) = self.executions("long"), self.executions("long", "cancelled")
        self.assertEqual((cancelled.engine, cancelled.run), (first.engine, first.run))
        self.assertLessEqual(cancelled.at, second.at)
        self.runner.run(self.fleet.start_manager("m0"))
        self.runner.run(self.fleet.wait_until_members_vote())

    def test_client_that_retries_at_another_manager_gets_the_same_row_without_another_execution(self):
        sql = "select 1 -- run=again work=20"
        rows = {self.client_call(final_answer, name, "load", "again", sql) for name in ("m1", "m0", "m2", "m1")}
        self.assertEqual((len(rows), len(self.executions("again"))), (1, 1))

    def test_unfinished_statement_is_not_reported_as_failed_to_a_client_without_time_left(self):
        sql, answers = "select 1 -- run=hasty work=700", []

        async def ask():
            while not self.executions("hasty"):
                await asyncio.sleep(0.01)
            answers.append(
                await asyncio.to_thread(Session(self.fleet, "m1", "read", "hasty", "-c decklb.budget=1ms").run, sql)
            )

        row = self.run_in_thread(lambda: Session(self.fleet, "m0", "read", "hasty").run(sql), ask)
        self.assertEqual((answers, row[:6]), ([None], "hasty/"))  # None: retry, not a final answer

    def test_conflicting_statement_for_a_used_key_is_rejected_with_that_reason(self):
        self.client_call(final_answer, "m0", "read", "mine", "select 1 -- run=mine work=5")
        for name in ("m0", "m1", "m2"):
            answer = self.client_call(final_answer, name, "read", "mine", "select 2 -- run=other work=5")
            self.assertIn("22023", answer)
            self.assertIn("names another statement", answer)
        self.assertEqual(self.executions("other"), [])

    def test_generated_key_is_reported_to_the_client_and_valid_at_another_manager(self):
        def run_with_generated_key():
            with psycopg.connect(
                host="127.0.0.1",
                port=self.fleet.ports["m0"],
                user="u",
                autocommit=True,
                options="-c decklb.class=load -c decklb.request=auto",
            ) as connection:
                row = connection.execute("select 1 -- run=made work=5").fetchone()[0]
                return row, connection.pgconn.parameter_status(b"decklb.request").decode()

        row, key = self.run_in_thread(run_with_generated_key)
        self.assertTrue(key.startswith("m0."))
        self.assertEqual(self.client_call(final_answer, "m1", "load", key, "select 1 -- run=made work=5"), row)
        self.assertEqual(len(self.executions("made")), 1)

    def test_statement_cancelled_by_its_client_is_reported_as_failed_by_all_managers(self):
        sql = "select 1 -- run=unwanted work=1500"
        session = Session(self.fleet, "m0", "load", "unwanted")

        async def cancel():
            while not self.executions("unwanted"):
                await asyncio.sleep(0.01)
            await asyncio.to_thread(session.connection.cancel)

        self.assertIn("57014", self.run_in_thread(lambda: session.run(sql), cancel))
        self.assertIn("40003", self.client_call(final_answer, "m1", "load", "unwanted", sql))
        self.assertEqual((len(self.executions("unwanted")), len(self.executions("unwanted", "cancelled"))), (1, 1))

    def test_manager_cut_off_from_its_engines_fails_a_request_in_time_and_so_do_the_others(self):
        sql = "select 1 -- run=engineless work=300"

        async def cut():
            while not self.executions("engineless"):
                await asyncio.sleep(0.01)
            await self.fleet.inject(FleetFault(0.0, FleetFaultKind.ENGINES, "m0"))

        try:
            first = self.run_in_thread(lambda: Session(self.fleet, "m0", "load", "engineless").run(sql), cut)
        finally:
            self.fleet.rig.heal()
        self.assertTrue(first.startswith(("57014", "40003")), first)  # it was executed, but its answer did not arrive
        self.assertIn("40003", self.client_call(final_answer, "m1", "load", "engineless", sql))
        self.assertEqual(len(self.executions("engineless")), 1)

    def test_manager_partitioned_from_the_others_stops_and_gives_no_answer_after_a_takeover(self):
        sql = "select 1 -- run=parted work=1200"

        async def cut():
            self.fleet.rig.partition("m0")

        cut_off = self.run_in_thread(lambda: Session(self.fleet, "m0", "read", "parted").run(sql), cut)
        self.assertIsNone(cut_off)  # m0 still reaches its client and engine, but must not answer
        row = self.client_call(final_answer, "m1", "read", "parted", sql)
        self.fleet.rig.heal()
        self.assertEqual(self.client_call(final_answer, "m0", "read", "parted", sql), row)
        first, second = self.executions("parted")
        self.assertNotEqual(first.manager, second.manager)
        cancelled = [
            x for x in self.executions("parted", "cancelled") if x.run == first.run and x.engine == first.engine
        ]
        self.assertTrue(cancelled and cancelled[0].at < second.at)

    def test_stopped_manager_learns_when_it_resumes_that_its_request_was_taken_over(self):
        sql = "select 1 -- run=stopped work=400"

        async def stop():
            self.fleet.managers["m2"].signal(signal.SIGSTOP)

        stopped_answers = []

        def run_at_stopped_manager():
            stopped_answers.append(Session(self.fleet, "m2", "read", "stopped").run(sql))

        async def ask_other_manager():
            row = await asyncio.to_thread(final_answer, self.fleet, "m1", "read", "stopped", sql)
            self.fleet.managers["m2"].signal(signal.SIGCONT)
            return row

        async def run():
            first = asyncio.ensure_future(asyncio.to_thread(run_at_stopped_manager))
            await asyncio.sleep(0.15)
            await stop()
            row = await ask_other_manager()
            await first
            return row

        row = self.runner.run(run())
        self.assertIn(stopped_answers[0], (None, row))  # m2 has a result of its own execution, but must not send it
        self.assertEqual(self.client_call(final_answer, "m2", "read", "stopped", sql), row)
        first_end, second_end = sorted(x.at for x in self.executions("stopped", "end"))
        self.assertGreater(self.executions("stopped")[1].at, first_end)
        self.assertGreater(second_end, first_end)

    def test_manager_drained_after_an_answer_leaves_it_to_the_others(self):
        sql = "select 1 -- run=drained work=5"
        row = self.client_call(final_answer, "m0", "load", "drained", sql)

        async def drain():
            self.fleet.managers["m0"].signal(signal.SIGTERM)
            await self.fleet.managers["m0"].child.wait()

        self.runner.run(drain())
        self.assertEqual(self.fleet.managers["m0"].child.returncode, 0)
        self.assertEqual(self.client_call(final_answer, "m1", "load", "drained", sql), row)
        self.assertEqual(len(self.executions("drained")), 1)
        self.runner.run(self.fleet.start_manager("m0"))
        self.runner.run(self.fleet.wait_until_members_vote())

    def test_time_jumps_of_the_wall_clock_delay_no_request(self):
        """Fails if the reactor schedules calls by the wall clock: setting it back by an hour delays them as much."""

        async def jump():
            for kind in (FleetFaultKind.AHEAD, FleetFaultKind.CLOCK, FleetFaultKind.BEHIND, FleetFaultKind.CLOCK):
                await self.fleet.inject(FleetFault(0.0, kind, "m1"))
                await asyncio.sleep(0.4)

        self.runner.run(jump())
        sql = "select 1 -- run=jumped work=20"
        row = self.client_call(final_answer, "m1", "load", "jumped", sql)
        self.assertEqual(self.client_call(final_answer, "m2", "load", "jumped", sql), row)
        self.assertEqual(len(self.executions("jumped")), 1)

        async def handoff_figures():
            return await asyncio.to_thread(query, str(self.fleet.folder / "m1.sock"), "handoff")

        for _ in range(100):  # m1's records expire only if its ticks continue
            if self.runner.run(handoff_figures())["held"] == 0:
                break
            self.runner.run(asyncio.sleep(0.1))
        self.assertEqual(
            (self.runner.run(handoff_figures())["held"], self.runner.run(handoff_figures())["links"]), (0, 2)
        )

    def test_transmission_faults_between_managers_double_no_request(self):
        for a in self.fleet.names:
            for b in self.fleet.names:
                if a != b:
                    self.fleet.rig.set_link(
                        a, b, LinkConditions(drop=0.05, duplicate=0.2, delay_ms=2.0, jitter_ms=20.0)
                    )
        try:
            for i in range(6):
                key = f"lossy.{i}"
                sql = f"select 1 -- run={key} work=20"
                rows = {self.client_call(final_answer, n, "load", key, sql) for n in self.fleet.names}
                self.assertEqual((len(rows), len(self.executions(key))), (1, 1), key)
        finally:
            self.fleet.rig.heal()
        socket = str(self.fleet.folder / "m1.sock")
        self.run_in_thread(
            lambda: wait_for(lambda: query(socket, "handoff")["links"] == 2, "connections to be established again")
        )


class SeededFaultsTest(unittest.TestCase):
    def test_no_request_is_lost_or_doubled_in_a_dozen_seeds_of_kills_stops_cuts_and_losses(self):
        results = []
        verdicts, counts = asyncio.run(
            campaign(
                Setup(span=3000.0, rate=20.0),
                list(range(12)),
                3,
                lambda seed, v, faults: results.append((seed, v, faults)),
            )
        )
        for seed, v, faults in results:
            self.assertEqual((v.lost, v.doubled, v.repeated, v.overlapping), ([], [], [], []), (seed, faults))
        self.assertEqual(len(verdicts), 12)
        self.assertGreaterEqual(
            len(
                {f.kind for _, _, faults in results for f in faults}
                & {
                    FleetFaultKind.KILL,
                    FleetFaultKind.STOP,
                    FleetFaultKind.PARTITION,
                    FleetFaultKind.CUT,
                    FleetFaultKind.LOSSY,
                }
            ),
            4,
        )
        self.assertGreater(counts["handoff-taken-over"], 0)
        self.assertEqual((counts["backstop"], counts["policy-failed"], counts["Traceback"]), (0, 0, 0))
