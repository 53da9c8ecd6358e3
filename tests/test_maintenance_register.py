"""The replicated register (CASPaxos): on a simulated network by seed, and its acceptor, proposer and recovery."""

import random

from decklb.lab.emulation.simulated_quorum_register import RegisterSimulation
from decklb.maintenance.errors import QuorumUnavailableError
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
from decklb.maintenance.proposer import ValueCodec
from decklb.maintenance.replicated_register import ReplicatedRegister


def make_replica(name, members, seed=1, **more):
    return ReplicatedRegister(name, ValueCodec((), bytes, tuple), members, 100.0, random.Random(seed), 0.0, **more)


def test_each_change_is_committed_once_in_one_line_despite_faults_and_restarts():
    """1,600 such runs were clean; with a rule taken out, these few are not."""
    done = 0
    for members, seed in ((n, s) for n in (3, 5) for s in range(25)):
        told = RegisterSimulation(seed, members, harsh=True).run()
        assert (told.lost, told.duplicated, told.diverged, told.unfinished) == ([], [], 0, 0), (members, seed)
        done += len(told.acknowledged)
    assert done > 1000


def test_messages_slower_than_a_round_delay_commits_and_do_not_stop_them():
    """Each way 60 ms and more, where a try begins with 100 to 200: with tries of one length none was done."""
    made = [
        RegisterSimulation(seed, 5, harsh=False, mean_interval_ms=1000.0, extra_delay_ms=60.0).run()
        for seed in range(8)
    ]
    assert sum(len(t.acknowledged) for t in made) > 60
    assert [(t.lost, t.duplicated, t.diverged) for t in made] == [([], [], 0)] * 8


def test_persisted_state_outlives_a_restart_of_all_members_at_once():
    done = 0
    for members, seed in ((n, s) for n in (3, 5) for s in range(12)):
        told = RegisterSimulation(seed, members, harsh=True, keeps_state=True).run()
        assert (told.lost, told.duplicated, told.diverged, told.unfinished) == ([], [], 0, 0), (members, seed)
        done += len(told.acknowledged)
    assert done > 400


def test_a_value_whose_proposer_dies_before_it_is_learned_is_committed_by_others():
    nodes = {n: make_replica(n, 3, seed=n) for n in ("m0", "m1", "m2")}
    for node in nodes.values():
        node.acceptor.recovering = False
    nodes["m0"].propose(lambda v: (*v, 1), lambda _value: None)
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
    assert [n.committed for n in nodes.values()][1:] == [(1,)] * 2


def test_a_recovering_acceptor_rejects_until_it_has_read_a_majority():
    replica = make_replica("m0", 5)
    replica.receive(0.0, "m1", Prepare(Ballot(4, "m1")))
    assert replica.outgoing == [("m1", Rejected(Ballot(4, "m1"), Ballot(4, "m1")))]
    replica.outgoing.clear()
    replica.tick(100.0)
    assert replica.outgoing == []  # proposals that count on its former promises may still live
    replica.tick(870.0)
    assert replica.outgoing == []
    replica.tick(890.0)
    ((_, read),) = replica.outgoing
    for i, name in enumerate(("m1", "m2", "m3")):
        assert replica.recovering
        replica.receive(891.0, name, StateReply(read.nonce, Ballot(7, "m2"), Ballot(6, "m1"), b"\x01", i < 3))
    assert not replica.recovering
    assert (replica.acceptor.promised, replica.acceptor.accepted) == (Ballot(7, "m2"), (Ballot(6, "m1"), b"\x01"))


def test_a_change_without_a_quorum_fails_at_its_deadline():
    replica = make_replica("m0", 3)
    replica.acceptor.recovering, told = False, []
    replica.propose(lambda v: (*v, 1), told.append, 1000.0)
    for now in range(0, 1200, 50):
        replica.tick(float(now))
    assert isinstance(told[0], QuorumUnavailableError)
    assert not replica.busy


def test_an_acceptor_that_cannot_persist_rejects():
    state = AcceptorState(Ballot(2, "m1"), AcceptedValue(Ballot(1, "m1"), b""))
    replica = make_replica("m0", 3, state=state, persist=lambda _state: False)
    assert not replica.recovering
    replica.receive(0.0, "m1", Prepare(Ballot(3, "m1")))
    replica.receive(0.0, "m1", Accept(Ballot(3, "m1"), b"\x01"))
    assert [type(x) for _, x in replica.outgoing] == [Rejected] * 2
    assert (replica.acceptor.promised, replica.acceptor.accepted.ballot) == (Ballot(2, "m1"), Ballot(1, "m1"))
