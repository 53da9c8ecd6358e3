"""Maintenance without a loop: the register by seed, the plan's rules, and conductors on a network that loses words."""

import random
import tempfile
import unittest
from unittest import mock

from click.testing import CliRunner
from msgspec.structs import replace

from decklb.cli.maint import maint
from decklb.cluster.messages import WireError
from decklb.lab.register import World
from decklb.lab.upkeep import Step, budget, doubled
from decklb.maintenance import messages as m
from decklb.maintenance.errors import (
    MachineAlreadyPlannedError,
    MachineNotOutError,
    MaintenanceError,
    PlanStoreError,
    QuorumUnavailableError,
    UnknownJobError,
    UnknownMachineError,
)
from decklb.maintenance.fleet_observer import manager_machine
from decklb.maintenance.fleet_status import FleetStatus, MachineStatus
from decklb.maintenance.operator_requests import add_job, cancel_job, mark_returned, resolve_machines
from decklb.maintenance.paxos_messages import (
    Accept,
    AcceptedValue,
    AcceptorState,
    Ballot,
    Committed,
    Prepare,
    Rejected,
    StateReply,
)
from decklb.maintenance.plan import Plan, Stage, overdue_machines
from decklb.maintenance.proposer import ValueCodec
from decklb.maintenance.replicated_register import ReplicatedRegister
from decklb.maintenance.scheduling import advance
from decklb.maintenance.settings import MaintenanceSettings
from decklb.maintenance.store import PlanStore
from tests.maintenance_fleet import ENGINES, Fleet

S = MaintenanceSettings(
    member_count=3,
    max_unavailable=2,
    max_unavailable_per_zone=1,
    max_unavailable_zone_fraction=0.5,
    warm_up_ms=1000.0,
    drain_timeout_ms=500.0,
    default_window_ms=5000.0,
)


def fleet_status(unix_ms=0, load=None, plan_known_to_all=True, unhealthy=(), **engines):
    changed = {n: replace(ENGINES[n], **c) for n, c in engines.items()}
    return FleetStatus(unix_ms, ENGINES | changed, load or {}, frozenset(unhealthy), plan_known_to_all)


def stages(plan):
    return {x.name: x.stage.name.lower() for j in plan.jobs for x in j.machines}


def register(name, members, seed=1, **more):
    return ReplicatedRegister(name, ValueCodec((), bytes, tuple), members, 100.0, random.Random(seed), 0.0, **more)


class Registers(unittest.TestCase):
    def test_every_change_stands_once_in_one_line_whatever_the_network_and_restarts_do(self):
        """1,600 such runs were clean; with a rule taken out, these few are not."""
        done = 0
        for members, seed in ((n, s) for n in (3, 5) for s in range(25)):
            told = World(seed, members, harsh=True).run()
            self.assertEqual((told.lost, told.twice, told.forked, told.stuck), ([], [], 0, 0), (members, seed))
            done += len(told.done)
        self.assertGreater(done, 1000)

    def test_words_that_are_slower_than_a_try_delay_agreement_and_do_not_stop_it(self):
        """Each way 60 ms and more, where a try begins with 100 to 200: with tries of one length none was done."""
        made = [World(seed, 5, harsh=False, pace=1000.0, slow=60.0).run() for seed in range(8)]
        self.assertGreater(sum(len(t.done) for t in made), 60)
        self.assertEqual([(t.lost, t.twice, t.forked) for t in made], [([], [], 0)] * 8)

    def test_what_members_keep_outlives_a_restart_of_all_at_once(self):
        done = 0
        for members, seed in ((n, s) for n in (3, 5) for s in range(12)):
            told = World(seed, members, harsh=True, kept=True).run()
            self.assertEqual((told.lost, told.twice, told.forked, told.stuck), ([], [], 0, 0), (members, seed))
            done += len(told.done)
        self.assertGreater(done, 400)

    def test_a_value_whose_proposer_dies_before_it_tells_is_found_out(self):
        nodes = {n: register(n, 3, seed=n) for n in ("m0", "m1", "m2")}
        for node in nodes.values():
            node.acceptor.recovering = False
        nodes["m0"].propose(lambda v: (*v, 1), lambda v: None)
        now, queue = 0.0, []
        while now < 4000.0:
            for sender, to, message in queue:
                if not isinstance(message, Committed):  # m0 is gone by then
                    nodes[to].receive(now, sender, message)
            queue = []
            for name, node in nodes.items():
                if now <= 20.0 or name != "m0":
                    node.tick(now)
                    queue += [(name, o, x) for to, x in node.outgoing for o in ([to] if to else nodes) if o != name]
                node.outgoing.clear()
            now += 10.0
        self.assertEqual([n.committed for n in nodes.values()][1:], [(1,)] * 2)

    def test_a_member_that_forgot_answers_nobody_until_it_has_read_a_majority(self):
        r = register("m0", 5)
        r.receive(0.0, "m1", Prepare(Ballot(4, "m1")))
        self.assertEqual(r.outgoing, [("m1", Rejected(Ballot(4, "m1"), Ballot(4, "m1")))])
        r.outgoing.clear()
        r.tick(100.0)
        self.assertEqual(r.outgoing, [])  # proposals that count on its former promises may still live
        r.tick(870.0)
        self.assertEqual(r.outgoing, [])
        r.tick(890.0)
        ((_, read),) = r.outgoing
        for i, name in enumerate(("m1", "m2", "m3")):
            self.assertTrue(r.recovering)
            r.receive(891.0, name, StateReply(read.nonce, Ballot(7, "m2"), Ballot(6, "m1"), b"\x01", i < 3))
        self.assertFalse(r.recovering)
        self.assertEqual((r.acceptor.promised, r.acceptor.accepted), (Ballot(7, "m2"), (Ballot(6, "m1"), b"\x01")))

    def test_what_no_majority_answers_is_given_up_in_time_and_said_so(self):
        r = register("m0", 3)
        r.acceptor.recovering, told = False, []
        r.propose(lambda v: (*v, 1), told.append, 1000.0)
        for now in range(0, 1200, 50):
            r.tick(float(now))
        self.assertIsInstance(told[0], QuorumUnavailableError)
        self.assertFalse(r.busy)


class Plans(unittest.TestCase):
    def setUp(self):
        self.plan = add_job(Plan(), "j", ["a"], "", 5000, ENGINES, S.retained_jobs)

    def test_machines_are_named_by_id_zone_or_pattern_once_each(self):
        self.assertEqual([e.name for e in resolve_machines(["a1", "a", "b*"], ENGINES)], ["a0", "a1", "b0", "b1"])
        with self.assertRaises(UnknownMachineError):
            resolve_machines(["a0", "c"], ENGINES)

    def test_a_request_made_again_is_the_same_and_one_that_overlaps_is_refused_by_name(self):
        self.assertIs(add_job(self.plan, "j", ["a"], "", 5000, ENGINES, S.retained_jobs), self.plan)
        with self.assertRaisesRegex(MachineAlreadyPlannedError, "a1 is in job j already"):
            add_job(self.plan, "k", ["a1", "b"], "", 5000, ENGINES, S.retained_jobs)

    def test_one_machine_goes_through_its_stages_in_order_and_the_next_only_once_it_is_warm(self):
        plan, seen = self.plan, []
        down = {"reachable": False, "seen_down": True}
        for wall, more in (
            (0, {}),
            (100, {"in_flight": 1}),
            (200, {}),
            (300, {}),
            (400, down),
            (500, down),
            (600, {}),
            (700, {}),
            (1700, {}),
            (1800, {}),
        ):
            plan = advance(plan, fleet_status(wall, a0=more), S)
            seen.append((stages(plan)["a0"], stages(plan)["a1"]))
        self.assertEqual([x for x, _ in seen], ["draining"] * 2 + ["out"] * 4 + ["warming"] * 2 + ["done"] * 2)
        self.assertEqual({y for _, y in seen[:9]}, {"waiting"})
        self.assertEqual(seen[9][1], "draining")
        self.assertEqual(plan.step_count, 5)

    def test_what_hinders_a_machine_is_told(self):
        for found, words in (
            (fleet_status(plan_known_to_all=False), "not every member has the plan"),
            (fleet_status(unhealthy=["b"]), "zone b is not"),
            (fleet_status(load={"a": 7.0}), "zone a would have 8 cores left"),
            (fleet_status(load={"b": 21.0}), "the fleet would have 24"),
        ):
            plan = advance(self.plan, found, S)
            self.assertEqual(set(stages(plan).values()), {"waiting"})
            self.assertIn(words, plan.blocked_reason)
            self.assertIs(advance(plan, found, S), plan)  # said once
        one = add_job(Plan(), "k", ["a0"], "", 5000, ENGINES, S.retained_jobs)
        self.assertIn(
            "0 cores left", advance(one, fleet_status(a1={"reachable": False}, load={"a": 1.0}), S).blocked_reason
        )
        tight = MaintenanceSettings(member_count=3, max_unavailable_zone_fraction=0.4)
        self.assertIn("40% may be", advance(self.plan, fleet_status(), tight).blocked_reason)

    def test_budgets_hold_over_all_jobs_and_zones(self):
        plan = add_job(self.plan, "k", ["b"], "", 5000, ENGINES, S.retained_jobs)
        for _ in range(5):
            plan = advance(plan, fleet_status(100, a0={"in_flight": 1}, b0={"in_flight": 1}), S)
        self.assertEqual(stages(plan), {"a0": "draining", "a1": "waiting", "b0": "draining", "b1": "waiting"})
        self.assertIn("2 of 2 machines", plan.blocked_reason)

    def test_work_in_hand_is_waited_for_no_longer_than_the_drain(self):
        plan = advance(self.plan, fleet_status(0), S)
        self.assertEqual(stages(advance(plan, fleet_status(499, a0={"in_flight": 3}), S))["a0"], "draining")
        self.assertEqual(stages(advance(plan, fleet_status(499, plan_known_to_all=False), S))["a0"], "draining")
        self.assertEqual(stages(advance(plan, fleet_status(500, a0={"in_flight": 3}), S))["a0"], "out")

    def test_after_a_members_death_the_whole_drain_is_waited_for(self):
        """What its process had sent runs on at the machine, and nobody counts it any more."""
        plan = advance(self.plan, fleet_status(0), S)
        for wall, stage in ((499, "draining"), (500, "out")):
            self.assertEqual(
                stages(advance(plan, replace(fleet_status(wall), in_flight_certain=False), S))["a0"], stage
            )

    def test_a_machine_that_stays_away_is_overdue_and_held_against_the_budget_until_it_is_cancelled(self):
        plan = advance(advance(self.plan, fleet_status(0), S), fleet_status(10), S)
        plan = advance(plan, fleet_status(20, a0={"reachable": False}), S)
        plan = advance(plan, fleet_status(6000, a0={"reachable": False}), S)
        self.assertEqual([x.name for x in overdue_machines(plan, 6000)], ["a0"])
        self.assertIn("out or warming: a0", plan.blocked_reason)
        plan = cancel_job(plan, "j", 6001)
        self.assertEqual((set(stages(plan).values()), plan.unavailable_machines()), ({"cancelled"}, frozenset()))
        self.assertIs(cancel_job(plan, "j", 6002), plan)  # the same word again, as where its answer was lost
        with self.assertRaises(UnknownJobError):
            cancel_job(plan, "k", 6002)

    def test_an_operators_word_brings_back_what_the_members_cannot_see_going(self):
        with self.assertRaises(MachineNotOutError):
            mark_returned(self.plan, "a0", 5)
        plan = advance(advance(self.plan, fleet_status(0), S), fleet_status(10), S)
        self.assertEqual(stages(advance(plan, fleet_status(100), S))["a0"], "out")  # it never went down
        plan = mark_returned(plan, "a0", 100)
        self.assertEqual(stages(plan)["a0"], "warming")
        self.assertIs(mark_returned(plan, "a0", 101), plan)

    def test_a_manager_is_back_when_its_process_is_another(self):
        name = manager_machine("m1")
        machines = {name: MachineStatus(name, "managers", 0.0, True, 0, 50)}
        plan = add_job(Plan(), "j", [name], "", 5000, machines, S.retained_jobs)
        for wall, boot, stage in ((100, 50, "draining"), (200, 50, "out"), (300, 50, "out"), (400, 7, "warming")):
            plan = advance(plan, FleetStatus(wall, {name: replace(machines[name], incarnation=boot)}, {}), S)
            self.assertEqual(stages(plan)[name], stage)

    def test_the_next_manager_waits_until_the_one_before_may_vote_on_records_again(self):
        names = [manager_machine("m1"), manager_machine("m2")]
        machines = {n: MachineStatus(n, "managers", 0.0, True, 0, 50) for n in names}
        s = MaintenanceSettings(
            member_count=3,
            max_unavailable=2,
            max_unavailable_per_zone=1,
            warm_up_ms=1000.0,
            manager_voting_delay_ms=6000.0,
        )
        plan = add_job(Plan(), "j", names, "", 5000, machines, s.retained_jobs)
        seen = []
        for wall in (100, 200, 300, 5000, 6301, 6400):
            boot = 7 if wall >= 300 else 50
            plan = advance(
                plan, FleetStatus(wall, machines | {names[0]: replace(machines[names[0]], incarnation=boot)}, {}), s
            )
            seen.append(tuple(stages(plan).values()))
        self.assertEqual(
            seen,
            [
                ("draining", "waiting"),
                ("out", "waiting"),
                ("warming", "waiting"),
                ("warming", "waiting"),
                ("done", "waiting"),
                ("done", "draining"),
            ],
        )

    def test_ended_jobs_are_forgotten_in_their_order(self):
        plan, s = Plan(), MaintenanceSettings(retained_jobs=2)
        for i in range(5):
            plan = cancel_job(add_job(plan, f"j{i}", ["a0"], "", 5000, ENGINES, s.retained_jobs), f"j{i}", 1)
        self.assertEqual([j.job_id for j in plan.jobs], ["j3", "j4"])


class Words(unittest.TestCase):
    def test_a_long_plan_crosses_in_parts_in_any_order(self):
        many = {f"e{i:04}": MachineStatus(f"e{i:04}", "z", 8.0) for i in range(500)}
        plan = add_job(Plan(), "j", ["z"], "r" * 200, 5000, many, S.retained_jobs)
        parts = m.encode_fragments(7, Committed(Ballot(3, "m0"), m.encode_plan(plan)))
        self.assertGreater(len(parts), 5)
        reassembler = m.Reassembler()
        random.Random(1).shuffle(parts)
        found = [reassembler.receive("m0", p) for p in [*parts[:3], *parts]]
        self.assertEqual([f for f in found if f is not None][0], Committed(Ballot(3, "m0"), m.encode_plan(plan)))
        self.assertEqual(m.decode_plan(m.encode_plan(plan)), plan)
        with self.assertRaisesRegex(ValueError, "let jobs end first"):
            m.encode_fragments(8, Committed(Ballot(3, "m0"), bytes(70_000)))

    def test_what_cannot_be_read_is_refused_by_reason(self):
        good = m.encode_fragments(1, Prepare(Ballot(1, "m0")))[0]
        for bad in (b"", good[:-1], b"\xc1" + good, good.replace(b"\x95\x01", b"\x95\x02", 1)):
            with self.assertRaises(WireError):
                m.Reassembler().receive("m0", bad)
        with self.assertRaises(WireError):
            m.decode_plan(b"\x01")


class Kept(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = folder.name + "/m0"

    def opened(self, member="m0", boot=None):
        store = PlanStore(self.path, member)
        self.addCleanup(store.close)
        store.boot_id = store.boot_id if boot is None else boot
        return store

    def test_what_a_member_promised_and_accepted_is_found_by_its_next_process_alone(self):
        plan = add_job(Plan(), "j", ["a"], "", 5000, ENGINES, S.retained_jobs)
        memory = AcceptorState(Ballot(4, "m1"), AcceptedValue(Ballot(3, "m0"), m.encode_plan(plan)))
        store = self.opened()
        self.assertIsNone(store.read())
        store.write(memory)
        store.close()
        for member, boot, found in (("m0", None, memory), ("m1", None, None), ("m0", "b2", None), ("m0", "", None)):
            store = self.opened(member, boot)  # with no boot id nobody can say
            self.assertEqual(store.read(), found, (member, boot))
            store.close()

    def test_a_folder_that_cannot_be_used_says_so(self):
        with open(self.path, "w"):
            pass
        with self.assertRaisesRegex(PlanStoreError, "m0"):
            self.opened()

    def test_a_member_that_cannot_keep_its_word_gives_none(self):
        state = AcceptorState(Ballot(2, "m1"), AcceptedValue(Ballot(1, "m1"), b""))
        r = register("m0", 3, state=state, persist=lambda state: False)
        self.assertFalse(r.recovering)
        r.receive(0.0, "m1", Prepare(Ballot(3, "m1")))
        r.receive(0.0, "m1", Accept(Ballot(3, "m1"), b"\x01"))
        self.assertEqual([type(x) for _, x in r.outgoing], [Rejected] * 2)
        self.assertEqual((r.acceptor.promised, r.acceptor.accepted.ballot), (Ballot(2, "m1"), Ballot(1, "m1")))


class Conductors(unittest.TestCase):
    def work(self, fleet, killed):
        """Each machine that is out goes down and comes back; the driver dies once in the middle, if asked to."""
        went = []

        def watch():
            plan = max((fleet.nodes[n].plan for n in fleet.names if n not in fleet.dead), key=lambda p: p.step_count)
            out = [x for j in plan.jobs for x in j.machines if x.stage is Stage.OUT]
            fleet.down = {x.name for x in out if not x.seen_down}
            went.extend(x.name for x in out if x.name not in went)
            if killed and out and not fleet.dead and len(went) == 2:
                name = fleet.nodes["m0"].driver
                fleet.dead.add(name)
                killed.clear()

        return went, watch

    def test_a_plan_is_carried_out_once_through_the_loss_of_whoever_does_it(self):
        for seed in range(8):
            fleet, told = Fleet(seed), []
            fleet.run(1500)
            fleet.nodes["m1"].request_maintenance("j", ["a", "b0"], "why", 0, fleet.now + 5000, told.append)
            went, watch = self.work(fleet, [True])
            fleet.run(20_000, watch)
            self.assertEqual(len(fleet.dead), 1)
            alive = [fleet.nodes[n] for n in fleet.names if n not in fleet.dead]
            self.assertEqual([set(stages(c.plan).values()) for c in alive], [{"done"}] * 2, seed)
            self.assertEqual((went, alive[0].plan.step_count), (["a0", "a1", "b0"], 12))
            self.assertIsInstance(told[0], Plan)

    def test_two_operators_who_ask_at_once_are_told_which_stands(self):
        fleet, told = Fleet(3), {}
        fleet.run(1500)
        for name, what in (("m0", ["a"]), ("m2", ["a1", "b"])):
            fleet.nodes[name].request_maintenance(
                name, what, "", 0, fleet.now + 5000, lambda x, n=name: told.setdefault(n, x)
            )
        fleet.run(3000)
        self.assertEqual(sorted(isinstance(x, MaintenanceError) for x in told.values()), [False, True])
        self.assertEqual(len(fleet.nodes["m1"].plan.jobs), 1)

    def test_a_machine_goes_only_once_no_member_has_work_there(self):
        fleet = Fleet(4)
        fleet.run(1500)
        fleet.busy = {"a0": 2}
        fleet.nodes["m0"].request_maintenance("j", ["a0"], "", 0, fleet.now + 5000, lambda x: None)
        fleet.run(1500)
        self.assertEqual(stages(fleet.nodes["m1"].plan), {"a0": "draining"})
        self.assertEqual(fleet.nodes["m2"].unavailable_machines(), {"a0"})
        fleet.busy = {}
        fleet.run(800)
        self.assertEqual(stages(fleet.nodes["m1"].plan), {"a0": "out"})

    def test_a_machine_that_was_down_for_a_moment_while_the_driver_could_not_act_has_come_back(self):
        """Its driver had just restarted, and waited for the plan to stand out for good."""
        fleet = Fleet(6)
        fleet.run(1500)
        fleet.nodes["m0"].request_maintenance("j", ["a0"], "", 0, fleet.now + 5000, lambda x: None)
        while {stages(c.plan).get("a0") for c in fleet.nodes.values()} != {"out"}:
            self.assertLess(fleet.now, 9000.0)
            fleet.run(50)
        driver = fleet.nodes["m0"].driver
        fleet.nodes[driver] = fleet.make(driver)  # forgets, and acts on nothing for a while
        fleet.down = {"a0"}
        fleet.run(150)
        fleet.down = set()
        fleet.run(3000)
        self.assertEqual({stages(c.plan)["a0"] for c in fleet.nodes.values()}, {"done"})

    def test_a_member_whose_process_is_new_leaves_the_machines_unclear_for_as_long_as_a_drain(self):
        fleet = Fleet(8)
        fleet.run(4000)

        def clear(name):
            node = fleet.nodes[name]
            return node.fleet_status(fleet.now, 0.0, node.plan).in_flight_certain

        self.assertTrue(clear("m0"))
        fleet.nodes["m2"] = fleet.make("m2")
        fleet.run(1500)
        self.assertEqual((clear("m0"), clear("m2")), (False, False))
        fleet.run(2000)
        self.assertEqual((clear("m0"), clear("m2")), (True, True))

    def test_a_machine_has_come_back_only_by_the_word_of_most_members(self):
        """One that hears nobody for a moment sees no engine down, and must not take that for a return."""
        fleet = Fleet(7)
        fleet.run(1500)
        node = fleet.nodes["m0"]
        self.assertTrue(node.fleet_status(fleet.now, 0.0, node.plan).machines["a0"].reachable)
        alone = node.fleet_status(fleet.now + 2000.0, 0.0, node.plan).machines["a0"]
        self.assertEqual((alone.reachable, alone.seen_down), (False, False))

    def test_a_manager_ends_once_at_its_turn_and_not_again_after_its_restart(self):
        fleet, left = Fleet(5), []
        fleet.run(1500)
        fleet.nodes["m0"].request_maintenance("j", [manager_machine("m1")], "", 0, fleet.now + 5000, lambda x: None)

        def watch():
            if fleet.nodes["m1"].claim_restart():
                left.append(fleet.now)
                fleet.nodes["m1"] = fleet.make("m1")

        fleet.run(6000, watch)
        self.assertEqual((len(left), stages(fleet.nodes["m2"].plan)), (1, {manager_machine("m1"): "done"}))


class Commands(unittest.TestCase):
    def test_the_plan_lists_what_is_still_to_go_with_what_is_under_way_first(self):
        rows = [("e0", "done"), ("e1", "waiting"), ("e2", "out")]
        answer = {
            "hold": "zone b is not well",
            "jobs": [{"job": "j", "machines": [{"machine": n, "zone": "z", "stage": s} for n, s in rows]}],
        }
        with mock.patch("decklb.cli.maint._ask", return_value=answer):
            said = CliRunner().invoke(maint, ["plan"]).output
        self.assertEqual([line.split()[1:2] for line in said.splitlines()[1:3]], [["e2"], ["e1"]])
        self.assertNotIn("e0", said)
        self.assertIn("waiting: zone b is not well", said)


class Verdicts(unittest.TestCase):
    def test_steps_done_twice_or_left_out_and_budgets_are_seen(self):
        good = [Step("m0", "j", "e0", s, i + 1, float(i)) for i, s in enumerate(("draining", "out", "warming", "done"))]
        self.assertEqual((doubled(good), budget(good)), ([], 0))
        self.assertEqual(len(doubled([*good, Step("m1", "j", "e0", "out", 9, 5.0)])), 1)
        self.assertEqual(len(doubled([s for s in good if s.stage != "out"])), 1)
        self.assertEqual(budget([*good, Step("m1", "j", "e1", "draining", 2, 5.0)]), 2)
