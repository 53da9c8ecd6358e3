"""Settings and classes with invalid values."""

from __future__ import annotations

import pytest

from decklb import interface as api
from tests.policy_builders import SAFE


@pytest.mark.parametrize("bad", [{"classes": {}}, {"gateway_count": 0}, {"tick_ms": 0.0}, {"cores_by_kind": {"k": 0}}])
def test_invalid_settings_are_rejected(bad):
    with pytest.raises(ValueError):
        api.Settings(**({"classes": {"safe": SAFE}} | bad))
    with pytest.raises(ValueError):
        api.RequestClass("x", latency_objective_ms=-1.0, deadline_ms=5.0)
    with pytest.raises(ValueError):
        api.RequestClass("x", latency_objective_ms=1.0, deadline_ms=0.0)
