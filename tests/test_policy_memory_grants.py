"""Memory grants of queries."""

from __future__ import annotations

import pytest

from decklb import interface as api
from decklb.interface import Outcome
from tests.policy_builders import arrival, ended, make_gateway, of_type, sent


def test_memory_grant_is_learned_from_reported_usage():
    gateway = make_gateway(
        memory_grants=True, usage_reported=True, memory_mb_by_kind={"k": 16000.0}, largest_grant_fraction=0.5
    )
    for i in range(40):
        (send,) = sent(gateway.step(i * 200.0, [arrival(f"r{i}", estimated_memory_mb=100.0)]))
        needed_mb = 400.0 if i % 10 == 0 else 200.0  # the 10% that need most must not spill to disk
        gateway.step(i * 200.0 + 100, [ended(send, Outcome.SUCCESS, work_ms=90.0, memory_mb=needed_mb)])
    (resources,) = of_type(api.SetResources, gateway.step(9000.0, [arrival("q", estimated_memory_mb=50.0)]))
    assert resources.memory_mb == pytest.approx(400.0 * 0.5**0.5)


def test_memory_grant_grows_as_the_square_root_of_the_estimate():
    gateway = make_gateway(
        memory_grants=True, usage_reported=True, memory_mb_by_kind={"k": 16000.0}, largest_grant_fraction=0.5
    )
    for i in range(40):
        (send,) = sent(gateway.step(i * 200.0, [arrival(f"r{i}", estimated_memory_mb=100.0)]))
        gateway.step(i * 200.0 + 100, [ended(send, Outcome.SUCCESS, work_ms=90.0, memory_mb=200.0)])
    (resources,) = of_type(api.SetResources, gateway.step(9000.0, [arrival("q", estimated_memory_mb=400.0)]))
    assert resources.memory_mb == pytest.approx(400.0)
