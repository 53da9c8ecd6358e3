"""The codec of the maintenance messages: fragments, reassembly, malformed input."""

import random

import pytest

from decklb.cluster.errors import WireError
from decklb.maintenance import messages
from decklb.maintenance.errors import PlanTooLargeError
from decklb.maintenance.fleet_status import MachineStatus
from decklb.maintenance.operator_requests import add_job
from decklb.maintenance.paxos_messages import Ballot, Committed, Prepare
from decklb.maintenance.plan import Plan


def test_a_long_plan_is_reassembled_from_fragments_in_any_order():
    machines = {f"e{i:04}": MachineStatus(f"e{i:04}", "z", 8.0) for i in range(500)}
    plan = add_job(Plan(), "j", ["z"], "r" * 200, 5000, machines, 50)
    datagrams = messages.encode_fragments(7, Committed(Ballot(3, "m0"), messages.encode_plan(plan)))
    assert len(datagrams) > 5
    reassembler = messages.Reassembler()
    random.Random(1).shuffle(datagrams)
    received = [reassembler.receive("m0", datagram) for datagram in [*datagrams[:3], *datagrams]]
    assert next(m for m in received if m is not None) == Committed(Ballot(3, "m0"), messages.encode_plan(plan))
    assert messages.decode_plan(messages.encode_plan(plan)) == plan
    with pytest.raises(PlanTooLargeError, match="wait until jobs have finished"):
        messages.encode_fragments(8, Committed(Ballot(3, "m0"), bytes(70_000)))


def test_malformed_datagrams_and_plans_raise_a_wire_error():
    valid = messages.encode_fragments(1, Prepare(Ballot(1, "m0")))[0]
    for malformed in (b"", valid[:-1], b"\xc1" + valid, valid.replace(b"\x95\x01", b"\x95\x02", 1)):
        with pytest.raises(WireError):
            messages.Reassembler().receive("m0", malformed)
    with pytest.raises(WireError):
        messages.decode_plan(b"\x01")
