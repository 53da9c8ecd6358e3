"""Seeded runs on the simulated network deliver the same messages in the same order as an earlier version.

A trace consists of all received messages, each with its time, sender, receiver and encoded bytes, and then of each
member's counters. It depends on the order of random draws and on every float expression of the handoff and of
`decklb.lab.emulation.simulated_handoff`.
"""

import json
from collections import Counter
from dataclasses import astuple
from hashlib import blake2b
from pathlib import Path

import pytest

from decklb.handoff import messages
from decklb.handoff.coordinator import HandoffCoordinator
from decklb.lab.emulation.simulated_handoff import HandoffSimulation

GOLDEN = json.loads((Path(__file__).parent / "golden/handoff/message_traces.json").read_text())


class Trace:
    """Digest of the messages that the members of one simulated run receive."""

    def __init__(self):
        self.digest = blake2b(digest_size=16)
        self.messages_by_tag = Counter()
        self.members = []

    def add(self, *parts):
        for part in parts:
            data = part if isinstance(part, bytes) else repr(part).encode()
            self.digest.update(len(data).to_bytes(4, "big") + data)


def traced_member_class(trace):
    """Return a coordinator class that records received messages in `trace`."""

    class TracedMember(HandoffCoordinator):
        def __init__(self, *args):
            super().__init__(*args)
            trace.members.append(self)

        def receive(self, now, peer, message):
            trace.messages_by_tag[messages.Message.__args__.index(type(message)) + 1] += 1
            trace.add(now, peer, self.member, messages.encode_message(message))
            super().receive(now, peer, message)

    return TracedMember


def traced_run(seed, members, harsh):
    """Play one run; return its digest and its number of messages by tag."""
    trace = Trace()
    verdict = HandoffSimulation(seed, members, coordinator=traced_member_class(trace), harsh=harsh).run()
    for member in trace.members:
        figures = member.figures()
        trace.add(sorted(figures.pop("counts").items()), sorted(figures.items()))
    trace.add(astuple(verdict))
    return {
        "seed": seed,
        "members": members,
        "harsh": harsh,
        "messages_by_tag": {str(tag): trace.messages_by_tag[tag] for tag in sorted(trace.messages_by_tag)},
        "digest": trace.digest.hexdigest(),
    }


@pytest.mark.parametrize("expected", GOLDEN, ids=lambda run: f"{run['seed']}-{run['members']}-{run['harsh']}")
def test_seeded_run_delivers_the_recorded_messages(expected):
    assert traced_run(expected["seed"], expected["members"], expected["harsh"]) == expected


def test_recorded_runs_include_every_message_type():
    assert {tag for run in GOLDEN for tag in run["messages_by_tag"]} == {str(tag) for tag in range(1, 13)}
