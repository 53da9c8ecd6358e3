"""The replicated register (CASPaxos): seeded simulations, and its acceptor, proposer and recovery."""

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


def make_replica(name, member_count, seed=1, **options):
    return ReplicatedRegister(
        name, ValueCodec((), bytes, tuple), member_count, 100.0, random.Random(seed), 0.0, **options
    )


def test_each_change_is_committed_once_in_one_sequence_despite_faults_and_restarts():
    """1,600 such runs showed no violation; with a rule of the protocol removed, the runs of this test fail."""
    committed = 0
    for members, seed in ((n, s) for n in (3, 5) for s in range(25)):
        outcome = RegisterSimulation(seed, members, harsh=True).run()
        assert (outcome.lost, outcome.duplicated, outcome.diverged, outcome.unfinished) == ([], [], 0, 0), (
            members,
            seed,
        )
        committed += len(outcome.acknowledged)
    assert committed > 1000


def test_messages_slower_than_a_round_delay_commits_and_do_not_prevent_them():
    """Messages take 60 ms or more each way, and the first rounds 100 to 200 ms.

    Without longer timeouts for repeated rounds no change was ever committed.
    """
    outcomes = [
        RegisterSimulation(seed, 5, harsh=False, mean_interval_ms=1000.0, extra_delay_ms=60.0).run()
        for seed in range(8)
    ]
    assert sum(len(outcome.acknowledged) for outcome in outcomes) > 60
    assert [(outcome.lost, outcome.duplicated, outcome.diverged) for outcome in outcomes] == [([], [], 0)] * 8


def test_persisted_state_survives_a_simultaneous_restart_of_all_members():
    committed = 0
    for members, seed in ((n, s) for n in (3, 5) for s in range(12)):
        outcome = RegisterSimulation(seed, members, harsh=True, keeps_state=True).run()
        assert (outcome.lost, outcome.duplicated, outcome.diverged, outcome.unfinished) == ([], [], 0, 0), (
            members,
            seed,
        )
        committed += len(outcome.acknowledged)
    assert committed > 400


def test_a_value_whose_proposer_ends_before_others_learn_it_is_committed_by_them():
    replicas = {n: make_replica(n, 3, seed=n) for n in ("m0", "m1", "m2")}
    for replica in replicas.values():
        replica.acceptor.recovering = False
    replicas["m0"].propose(lambda value: (*value, 1), lambda _value: None)
    now, queue = 0.0, []
    while now < 4000.0:
        for sender, receiver, message in queue:
            if not isinstance(message, Committed):  # m0 ends before it can announce the commit
                replicas[receiver].receive(now, sender, message)
        queue = []
        for name, replica in replicas.items():
            if now <= 20.0 or name != "m0":
                replica.tick(now)
                queue += [(name, r, m) for to, m in replica.outgoing for r in ([to] if to else replicas) if r != name]
            replica.outgoing.clear()
        now += 10.0
    assert [n.committed for n in replicas.values()][1:] == [(1,)] * 2


def test_a_recovering_acceptor_rejects_until_it_has_read_the_state_of_a_majority():
    replica = make_replica("m0", 5)
    replica.receive(0.0, "m1", Prepare(Ballot(4, "m1")))
    assert replica.outgoing == [("m1", Rejected(Ballot(4, "m1"), Ballot(4, "m1")))]
    replica.outgoing.clear()
    replica.tick(100.0)
    assert replica.outgoing == []  # rounds that rely on its earlier promises may not be over yet
    replica.tick(870.0)
    assert replica.outgoing == []
    replica.tick(890.0)
    ((_, state_request),) = replica.outgoing
    for i, name in enumerate(("m1", "m2", "m3")):
        assert replica.recovering
        replica.receive(891.0, name, StateReply(state_request.nonce, Ballot(7, "m2"), Ballot(6, "m1"), b"\x01", i < 3))
    assert not replica.recovering
    assert (replica.acceptor.promised, replica.acceptor.accepted) == (Ballot(7, "m2"), (Ballot(6, "m1"), b"\x01"))


def test_a_change_without_a_quorum_fails_at_its_deadline():
    replica = make_replica("m0", 3)
    replica.acceptor.recovering, results = False, []
    replica.propose(lambda value: (*value, 1), results.append, 1000.0)
    for now in range(0, 1200, 50):
        replica.tick(float(now))
    assert isinstance(results[0], QuorumUnavailableError)
    assert not replica.busy


def test_an_acceptor_that_cannot_persist_rejects():
    state = AcceptorState(Ballot(2, "m1"), AcceptedValue(Ballot(1, "m1"), b""))
    replica = make_replica("m0", 3, state=state, persist=lambda _state: False)
    assert not replica.recovering
    replica.receive(0.0, "m1", Prepare(Ballot(3, "m1")))
    replica.receive(0.0, "m1", Accept(Ballot(3, "m1"), b"\x01"))
    assert [type(message) for _, message in replica.outgoing] == [Rejected] * 2
    assert (replica.acceptor.promised, replica.acceptor.accepted.ballot) == (Ballot(2, "m1"), Ballot(1, "m1"))
