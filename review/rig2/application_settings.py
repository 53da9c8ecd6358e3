"""Settings of the application's classes, in the platform's form."""

from __future__ import annotations

from typing import Any


def settings(memory_span_ms: float) -> dict[str, Any]:
    """Return settings with an idempotent class and a keyed one, as `carga` is, whose window for repeats is given."""
    return {
        "categories": [
            {"name": "informe", "aim": 2000.0, "deadline": 20000.0, "late_worth": 0.4, "semantics": "idempotent"},
            {
                "name": "carga",
                "aim": 3000.0,
                "deadline": 20000.0,
                "late_worth": 0.5,
                "semantics": "deduplicated",
                "group": "all",
                "memory_span": memory_span_ms,
            },
        ],
        "tenants": [{"name": "cusco", "share": 0.7}, {"name": "ayacucho", "share": 0.3}],
        "kinds": ["nodo-a"],
        "domain": {"kind_cores": [8], "dop": [1, 1]},
        "tick": 5.0,
        "limits": {"max_attempts": 4, "cancelling": True, "retry_after": True, "max_retry_after": 500.0},
        "rules": {
            "extra_floor": 2.0,
            "further_ratio": 0.1,
            "extra_window": 5000.0,
            "settle_after_doubt": 300.0,
            "drain_grace": 2000.0,
        },
    }
