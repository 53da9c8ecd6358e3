"""Statistics of each request class."""

from __future__ import annotations

import pytest

from decklb.interface import Outcome
from tests.policy_builders import arrival, ended, make_gateway, sent


def test_relative_size_is_bounded_to_a_tenth_and_ten_times_the_mean():
    gateway = make_gateway(engines=0)
    gateway.step(1.0, [arrival("usual", estimated_work_ms=100.0)])
    gateway.statistics["safe"].mean_estimate = 100.0
    sizes = []
    for i, estimate in enumerate((1.0, 20.0, 500.0, 9e9)):
        gateway.step(2.0 + i, [arrival(f"q{i}", estimated_work_ms=estimate)])
        gateway.statistics["safe"].mean_estimate = 100.0
        sizes.append(gateway.requests[f"q{i}"].relative_size())
    assert sizes == pytest.approx([0.1, 0.2, 5.0, 10.0])


def test_unreported_work_is_estimated_from_the_best_run_time_not_from_overload():
    gateway = make_gateway(engines=1)
    for i in range(40):
        for send in sent(gateway.step(1.0 + i, [arrival(f"r{i}")])):
            gateway.step(1.5 + i, [ended(send, Outcome.SUCCESS, duration_ms=100.0 if i < 30 else 4000.0)])
    assert gateway.statistics["safe"].work_ms < 200.0 < gateway.statistics["safe"].run_ms
