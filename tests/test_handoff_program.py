"""Real managers that take over one another's work: named cases, then seeded faults between processes."""

from __future__ import annotations

import asyncio
import signal
import tempfile
import unittest

import psycopg

from decklb.lab.fault_runs.handoff_run import Fleet, Setup, campaign
from decklb.lab.faults.fault_schedule import FleetFault, FleetFaultKind, LinkConditions
from decklb.management.control_client import query
from tests.handoff_clients import Session, final
from tests.standins import wait_for

SETUP = Setup()


class Cases(unittest.TestCase):
    """One fleet for all named cases: each leaves it whole."""

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

    def during(self, blocking, *calls):
        """A blocking client in a thread, while the rig's loop runs and faults strike."""

        async def run():
            task = asyncio.ensure_future(asyncio.to_thread(blocking))
            for call in calls:
                await asyncio.sleep(0.15)
                await call()
            return await task

        return self.runner.run(run())

    def client(self, call, *args):
        return self.during(lambda: call(self.fleet, *args))

    async def _kill(self, name):
        await self.fleet.managers[name].kill()

    def runs(self, key, what="start"):
        return sorted((x for x in self.fleet.execution_events() if x.key == key and x.what == what), key=lambda x: x.at)

    def test_a_killed_managers_read_is_run_again_once_and_its_load_ends_in_doubt(self):
        async def restart():
            await self.fleet.start_manager("m0")

        for lane, key in (("read", "killed.read"), ("load", "killed.load")):
            sql = f"select 1 -- run={key} work=700"
            first = self.during(
                lambda x=lane, k=key, s=sql: Session(self.fleet, "m0", x, k).run(s), lambda: self._kill("m0")
            )
            self.assertIsNone(first)  # the connection broke: no final answer
            answers = {self.client(final, name, lane, key, sql) for name in ("m1", "m2")}
            self.assertEqual(len(answers), 1)
            if lane == "read":
                self.assertTrue(answers.pop().startswith("killed.read/"))
                self.assertEqual(len(self.runs(key)), 2)
            else:
                self.assertIn("40003", answers.pop())
                self.assertEqual(len(self.runs(key)), 1)
            self.runner.run(restart())
            self.runner.run(self.fleet.wait_until_members_vote())

    def test_what_a_killed_manager_left_running_is_ended_before_it_runs_again(self):
        sql = "select 1 -- run=long work=2000"
        self.assertIsNone(
            self.during(lambda: Session(self.fleet, "m0", "read", "long").run(sql), lambda: self._kill("m0"))
        )
        self.assertTrue(self.client(final, "m1", "read", "long", sql).startswith("long/"))
        (first, again), (ended,) = self.runs("long"), self.runs("long", "cancelled")
        self.assertEqual((ended.engine, ended.run), (first.engine, first.run))
        self.assertLessEqual(ended.at, again.at)
        self.runner.run(self.fleet.start_manager("m0"))
        self.runner.run(self.fleet.wait_until_members_vote())

    def test_a_client_that_comes_back_elsewhere_gets_the_same_row_and_nothing_runs_again(self):
        sql = "select 1 -- run=again work=20"
        rows = {self.client(final, name, "load", "again", sql) for name in ("m1", "m0", "m2", "m1")}
        self.assertEqual((len(rows), len(self.runs("again"))), (1, 1))

    def test_who_asks_with_no_time_left_is_not_told_that_a_statement_failed_that_still_runs(self):
        sql, said = "select 1 -- run=hasty work=700", []

        async def ask():
            while not self.runs("hasty"):
                await asyncio.sleep(0.01)
            said.append(
                await asyncio.to_thread(Session(self.fleet, "m1", "read", "hasty", "-c decklb.budget=1ms").run, sql)
            )

        row = self.during(lambda: Session(self.fleet, "m0", "read", "hasty").run(sql), ask)
        self.assertEqual((said, row[:6]), ([None], "hasty/"))  # come back, and no final answer

    def test_a_key_given_to_another_statement_is_refused_by_name(self):
        self.client(final, "m0", "read", "mine", "select 1 -- run=mine work=5")
        for name in ("m0", "m1", "m2"):
            said = self.client(final, name, "read", "mine", "select 2 -- run=other work=5")
            self.assertIn("22023", said)
            self.assertIn("names another statement", said)
        self.assertEqual(self.runs("other"), [])

    def test_a_key_that_the_manager_makes_is_told_and_serves_elsewhere(self):
        def make():
            with psycopg.connect(
                host="127.0.0.1",
                port=self.fleet.ports["m0"],
                user="u",
                autocommit=True,
                options="-c decklb.class=load -c decklb.request=auto",
            ) as link:
                row = link.execute("select 1 -- run=made work=5").fetchone()[0]
                return row, link.pgconn.parameter_status(b"decklb.request").decode()

        row, key = self.during(make)
        self.assertTrue(key.startswith("m0."))
        self.assertEqual(self.client(final, "m1", "load", key, "select 1 -- run=made work=5"), row)
        self.assertEqual(len(self.runs("made")), 1)

    def test_a_statement_that_its_client_cancels_has_failed_for_all_that_ask(self):
        sql = "select 1 -- run=unwanted work=1500"
        session = Session(self.fleet, "m0", "load", "unwanted")

        async def cancel():
            while not self.runs("unwanted"):
                await asyncio.sleep(0.01)
            await asyncio.to_thread(session.link.cancel)

        self.assertIn("57014", self.during(lambda: session.run(sql), cancel))
        self.assertIn("40003", self.client(final, "m1", "load", "unwanted", sql))
        self.assertEqual((len(self.runs("unwanted")), len(self.runs("unwanted", "cancelled"))), (1, 1))

    def test_a_manager_cut_off_from_its_engines_fails_in_time_and_alike_for_all_that_ask(self):
        sql = "select 1 -- run=engineless work=300"

        async def cut():
            while not self.runs("engineless"):
                await asyncio.sleep(0.01)
            await self.fleet.inject(FleetFault(0.0, FleetFaultKind.ENGINES, "m0"))

        try:
            first = self.during(lambda: Session(self.fleet, "m0", "load", "engineless").run(sql), cut)
        finally:
            self.fleet.rig.heal()
        self.assertTrue(first.startswith(("57014", "40003")), first)  # it ran, and its answer never came
        self.assertIn("40003", self.client(final, "m1", "load", "engineless", sql))
        self.assertEqual(len(self.runs("engineless")), 1)

    def test_a_manager_that_was_cut_off_stops_and_cannot_finish_what_was_taken_over(self):
        sql = "select 1 -- run=parted work=1200"

        async def cut():
            self.fleet.rig.partition("m0")

        cut_off = self.during(lambda: Session(self.fleet, "m0", "read", "parted").run(sql), cut)
        self.assertIsNone(cut_off)  # it still has its client and its engine, and yet gives no answer
        row = self.client(final, "m1", "read", "parted", sql)
        self.fleet.rig.heal()
        self.assertEqual(self.client(final, "m0", "read", "parted", sql), row)
        first, second = self.runs("parted")
        self.assertNotEqual(first.manager, second.manager)
        called_off = [x for x in self.runs("parted", "cancelled") if x.run == first.run and x.engine == first.engine]
        self.assertTrue(called_off and called_off[0].at < second.at)

    def test_a_stopped_manager_that_goes_on_learns_that_another_has_its_work(self):
        sql = "select 1 -- run=stopped work=400"

        async def stop():
            self.fleet.managers["m2"].signal(signal.SIGSTOP)

        task = []

        def late():
            task.append(Session(self.fleet, "m2", "read", "stopped").run(sql))

        async def others():
            row = await asyncio.to_thread(final, self.fleet, "m1", "read", "stopped", sql)
            self.fleet.managers["m2"].signal(signal.SIGCONT)
            return row

        async def run():
            first = asyncio.ensure_future(asyncio.to_thread(late))
            await asyncio.sleep(0.15)
            await stop()
            row = await others()
            await first
            return row

        row = self.runner.run(run())
        self.assertIn(task[0], (None, row))  # its own run has an answer too, which it may not give
        self.assertEqual(self.client(final, "m2", "read", "stopped", sql), row)
        a, b = sorted(x.at for x in self.runs("stopped", "end"))
        self.assertGreater(self.runs("stopped")[1].at, a)
        self.assertGreater(b, a)

    def test_a_manager_that_drains_leaves_its_answers_behind(self):
        sql = "select 1 -- run=drained work=5"
        row = self.client(final, "m0", "load", "drained", sql)

        async def drain():
            self.fleet.managers["m0"].signal(signal.SIGTERM)
            await self.fleet.managers["m0"].child.wait()

        self.runner.run(drain())
        self.assertEqual(self.fleet.managers["m0"].child.returncode, 0)
        self.assertEqual(self.client(final, "m1", "load", "drained", sql), row)
        self.assertEqual(len(self.runs("drained")), 1)
        self.runner.run(self.fleet.start_manager("m0"))
        self.runner.run(self.fleet.wait_until_members_vote())

    def test_a_wall_clock_that_jumps_ahead_and_back_stops_nothing(self):
        """The reactor's calls went by the wall clock: after the way back, none was due for an hour."""

        async def jump():
            for kind in (FleetFaultKind.AHEAD, FleetFaultKind.CLOCK, FleetFaultKind.BEHIND, FleetFaultKind.CLOCK):
                await self.fleet.inject(FleetFault(0.0, kind, "m1"))
                await asyncio.sleep(0.4)

        self.runner.run(jump())
        sql = "select 1 -- run=jumped work=20"
        row = self.client(final, "m1", "load", "jumped", sql)
        self.assertEqual(self.client(final, "m2", "load", "jumped", sql), row)
        self.assertEqual(len(self.runs("jumped")), 1)

        async def held():
            return await asyncio.to_thread(query, str(self.fleet.folder / "m1.sock"), "handoff")

        for _ in range(100):  # its records lapse, which only a member whose beats go on sees to
            if self.runner.run(held())["held"] == 0:
                break
            self.runner.run(asyncio.sleep(0.1))
        self.assertEqual((self.runner.run(held())["held"], self.runner.run(held())["links"]), (0, 2))

    def test_losses_between_managers_delay_and_double_nothing(self):
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
                rows = {self.client(final, n, "load", key, sql) for n in self.fleet.names}
                self.assertEqual((len(rows), len(self.runs(key))), (1, 1), key)
        finally:
            self.fleet.rig.heal()
        socket = str(self.fleet.folder / "m1.sock")
        self.during(lambda: wait_for(lambda: query(socket, "handoff")["links"] == 2, "connections made again"))


class Seeded(unittest.TestCase):
    def test_a_dozen_seeds_of_kills_stops_cuts_and_losses_lose_and_double_nothing(self):
        shown = []
        verdicts, counts = asyncio.run(
            campaign(
                Setup(span=3000.0, rate=20.0),
                list(range(12)),
                3,
                lambda seed, v, faults: shown.append((seed, v, faults)),
            )
        )
        for seed, v, faults in shown:
            self.assertEqual((v.lost, v.doubled, v.repeated, v.overlapping), ([], [], [], []), (seed, faults))
        self.assertEqual(len(verdicts), 12)
        self.assertGreaterEqual(
            len(
                {f.kind for _, _, faults in shown for f in faults}
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
