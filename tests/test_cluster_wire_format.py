"""Compares the cluster's encoded bytes and decisions with those recorded in `tests/golden/cluster.json`.

The record was made before the package was renamed. After an intended change of the protocol, write a new one with
`python -m tests.test_cluster_wire_format`.
"""

from __future__ import annotations

import hashlib
import json
import os
from pathlib import Path

import pytest

from decklb.cluster import keyfile, messages
from decklb.cluster.broadcast_queue import BroadcastQueue, transmit_limit
from decklb.cluster.duty import phase_of
from decklb.cluster.duty_status import duty_rows
from decklb.cluster.node_status import member_rows, node_health
from decklb.cluster.rendezvous import Ranking
from decklb.cluster.sealing import Sealer, key_id
from decklb.cluster.settings import DutySettings, MembershipSettings
from decklb.cluster.suspicion import Suspicion
from decklb.lab.emulation.simulated_cluster import Cluster
from decklb.lab.emulation.simulated_network import Faults
from tests.standins import ROOT

RECORD = ROOT / "tests" / "golden" / "cluster.json"
KEYS = [bytes(range(32)), bytes(range(32, 64))]
SALT = bytes(range(100, 108))
WALL_MS = 1_700_000_000_123

MESSAGES = [
    messages.Ping(sequence=7, target="b"),
    messages.Ack(sequence=1 << 40),
    messages.Nack(sequence=0),
    messages.PingRequest(sequence=300, target="b", host="10.0.0.2", port=7946),
    messages.Alive(
        name="a", host="10.0.0.1", port=7946, incarnation=WALL_MS, run_id=WALL_MS << 10, ready=True, weight=2.5
    ),
    messages.Suspect(name="b", incarnation=5, reported_by="a"),
    messages.Dead(name="b", incarnation=6, reported_by="b"),
    messages.Digest(checksums=bytes(range(256))),
    messages.InSync(),
    messages.BucketRequest(buckets=bytes([0, 9, 63])),
    messages.MemberRecord(
        name="c",
        host="h.example",
        port=1,
        incarnation=70_000,
        run_id=9,
        ready=False,
        weight=1.0,
        state=messages.MemberState.LEFT,
        state_age_ms=12_345,
    ),
    messages.DutyResult(
        kind="probe", subject="engine-1", term=77, owner="a", found_at_ms=WALL_MS, status=messages.HealthStatus.DOWN
    ),
    messages.DutyDecline(kind="probe", subject="engine-2", declined_by="c", declined_at_ms=WALL_MS, hold_ms=300_000),
    messages.UserMessage(topic="handoff", payload=b"\x00\xff"),
]


def datagram() -> bytes:
    return messages.encode_envelope("member-1", 99, 3, WALL_MS, 12, [messages.encode_message(x) for x in MESSAGES])


def message_bytes() -> list[str]:
    return [messages.encode_message(x).hex() for x in MESSAGES]


def sealed() -> list[str]:
    sealer = Sealer("decklb", KEYS, SALT)
    return [sealer.seal(datagram()).hex(), sealer.seal(b"second").hex()]


def key_file(folder: Path) -> dict[str, object]:
    path = str(folder / "keys.json")
    ring = [keyfile.Key(k, f"2026-01-0{i}T00:00:00+00:00") for i, k in enumerate(KEYS, 1)]
    keyfile.write(path, ring)
    assert os.stat(path).st_mode & 0o777 == 0o600
    assert keyfile.read(path) == ring
    new_key = keyfile.Key(bytes(32), "later")
    return {
        "text": Path(path).read_text(),
        "names": [k.name for k in ring],
        "rotated": {step: [k.name for k in keyfile.rotate(ring, step, new_key)] for step in keyfile.RotationStep},
    }


def broadcast_rounds() -> list[list[str]]:
    """Return what a queue sends per round while broadcasts of different sizes are added and replaced."""
    queue = BroadcastQueue()
    rounds = []
    for i in range(12):
        queue.add(f"member-{i % 7}", bytes([i]) * (1 + 37 * i % 90))
        rounds.append([message.hex() for message in queue.take(150, 3)])
    while len(queue):
        rounds.append([message.hex() for message in queue.take(150, 3)])
    return rounds


def suspicion_deadlines() -> list[list[float]]:
    deadlines_by_size = []
    for members in (2, 3, 9, 300):
        suspicion = Suspicion.start(MembershipSettings(), 1000.0, members, "a")
        deadlines = [suspicion.deadline()]
        for reporter in "abcde":
            suspicion.confirm(reporter)
            deadlines.append(suspicion.deadline())
        deadlines_by_size.append(deadlines)
    return deadlines_by_size


def owners() -> dict[str, list[str]]:
    ranking = Ranking("probe")
    for name, weight in (("m0", 1.0), ("m1", 2.0), ("m2", 0.5), ("m3", 1.0)):
        ranking.add_member(name, weight)
    ranking.set_duties(f"engine-{i}" for i in range(12))
    return {
        name: sorted(ranking.duties_of(name, {"m0", "m1", "m2"}, {"engine-3": {"m1"}})) for name in ("m0", "m1", "m2")
    }


def simulated(seed: int) -> dict[str, object]:
    """Simulate a cluster under every kind of fault.

    Returns the numbers of datagrams, runs and deaths, and a digest over all datagrams, runs, events and final states.
    """
    membership = MembershipSettings(push_pull_interval_ms=2000.0, dead_retention_ms=40_000.0)
    duty = DutySettings(
        period_ms=4000.0,
        timeout_ms=500.0,
        mass_failure_hold_ms=8000.0,
        decline_hold_ms=20_000.0,
        repeat_interval_ms=5000.0,
    )
    faults = Faults(loss=0.1, duplicate=0.05)
    cluster = Cluster.make(
        seed, 6, 20, membership, duty, faults, shared_ranking=False, converged=False, drift=1e-4, skew_ms=20.0
    )
    network = cluster.network
    digest = hashlib.sha256()
    sent = 0
    transmit = network._transmit

    def record_and_transmit(source, target, data):
        nonlocal sent
        sent += 1
        digest.update(f"{network.now!r} {source} {target} ".encode() + data)
        transmit(source, target, data)

    network._transmit = record_and_transmit
    network.run(8000.0)
    cluster.down = {"motor-3"}
    cluster.unreachable = {("m1", "motor-5")}
    network.kill(cluster.host("m4"))
    network.run(20_000.0)
    cluster.partition({"m0", "m1"})
    network.run(35_000.0)
    cluster.heal()
    cluster.down = set()
    cluster.start(4, wall_back=30_000.0 * (seed % 2))
    network.run(45_000.0)
    network.pause(cluster.host("m2"), 6000.0)
    younger = cluster.start(9, name="m1", address=("10.9.9.9", 7946))
    network.run(65_000.0)
    leaving = cluster.host("m5")
    leaving.node.leave(leaving.now())
    network.pump(leaving)
    network.kill(leaving)
    cluster.partition({"m3"}, one_way=True)
    network.run(75_000.0)
    cluster.heal()
    network.run(130_000.0)
    assert younger.node.membership.local.is_yielding
    for run in cluster.runs:
        digest.update(f"{run.at!r} {run.host} {run.subject} {run.term}".encode())
    for event in [*cluster.deaths, *cluster.health_results]:
        digest.update(repr(event).encode())
    for host in cluster.hosts:
        members = member_rows(host.node.membership, host.now())
        duties = duty_rows(cluster.scheduler(host), host.now())
        digest.update(json.dumps([members, duties]).encode())
        digest.update(json.dumps(node_health(host.node)).encode())
    return {"datagrams": sent, "runs": len(cluster.runs), "deaths": len(cluster.deaths), "digest": digest.hexdigest()}


def recordings(folder: Path) -> dict[str, object]:
    return {
        "messages": message_bytes(),
        "envelope": datagram().hex(),
        "payload_bytes": [messages.message_capacity("a"), messages.message_capacity("x" * 64)],
        "sealed": sealed(),
        "key_names": [key_id(k).hex() for k in KEYS],
        "key_file": key_file(folder),
        "transmissions": [transmit_limit(6, members) for members in (1, 2, 10, 100, 1000)],
        "broadcasts": broadcast_rounds(),
        "suspicion_ends_ms": suspicion_deadlines(),
        "phases": [phase_of("probe", f"engine-{i}") for i in range(4)],
        "owners": owners(),
        "simulated": {str(seed): simulated(seed) for seed in (1, 2, 3)},
    }


def recorded() -> dict[str, object]:
    return json.loads(RECORD.read_text())


@pytest.mark.parametrize("i", range(len(MESSAGES)), ids=[type(x).__name__ for x in MESSAGES])
def test_each_message_has_its_recorded_bytes(i):
    assert messages.encode_message(MESSAGES[i]).hex() == recorded()["messages"][i]


def test_all_message_types_are_recorded():
    assert {type(x) for x in MESSAGES} == set(messages.Message.__args__)
    assert [bytes.fromhex(x)[1] for x in recorded()["messages"]] == list(range(1, len(MESSAGES) + 1))


def test_an_envelope_of_all_messages_has_its_recorded_bytes_and_decodes():
    assert datagram().hex() == recorded()["envelope"]
    decoded = messages.decode_envelope(bytes.fromhex(recorded()["envelope"]))
    assert (
        decoded.version,
        decoded.sender,
        decoded.run_id,
        decoded.sequence,
        decoded.wall_clock_ms,
        decoded.lamport_time,
    ) == (
        1,
        "member-1",
        99,
        3,
        WALL_MS,
        12,
    )
    assert decoded.messages == MESSAGES
    assert [messages.message_capacity("a"), messages.message_capacity("x" * 64)] == recorded()["payload_bytes"]


def test_a_sealed_datagram_has_its_recorded_bytes_and_opens():
    assert sealed() == recorded()["sealed"]
    opener = Sealer("decklb", [KEYS[1], KEYS[0]], bytes(8))
    assert opener.open(bytes.fromhex(recorded()["sealed"][0])) == datagram()
    assert [key_id(k).hex() for k in KEYS] == recorded()["key_names"]


def test_the_key_file_has_its_recorded_text_and_is_readable(tmp_path):
    assert key_file(tmp_path) == recorded()["key_file"]
    path = tmp_path / "old.json"
    path.write_text(recorded()["key_file"]["text"])
    path.chmod(0o600)
    assert [k.secret for k in keyfile.read(str(path))] == KEYS


def test_broadcasts_are_sent_in_the_recorded_order():
    assert broadcast_rounds() == recorded()["broadcasts"]
    assert [transmit_limit(6, members) for members in (1, 2, 10, 100, 1000)] == recorded()["transmissions"]


def test_suspicions_have_the_recorded_deadlines():
    assert suspicion_deadlines() == recorded()["suspicion_ends_ms"]


def test_duties_have_the_recorded_phases_and_owners():
    assert [phase_of("probe", f"engine-{i}") for i in range(4)] == recorded()["phases"]
    assert owners() == recorded()["owners"]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_simulated_cluster_sends_the_recorded_datagrams(seed):
    assert simulated(seed) == recorded()["simulated"][str(seed)]


if __name__ == "__main__":
    import tempfile

    with tempfile.TemporaryDirectory() as name:
        RECORD.write_text(json.dumps(recordings(Path(name)), indent=1) + "\n")
