"""Settings of a small deployment, in the platform's form, with the figures of the site that a case names."""

from __future__ import annotations

from typing import Any


def lima(carga: str = "deduplicated") -> dict[str, Any]:
    """One manager of lima-centro; `carga` is the effect of the loads, which PostgreSQL engines can't deduplicate."""
    return {
        "areas": ["sala-lima"],
        "zone": "sala-lima",
        "balancers": 1,
        "me": 0,
        "tick": 5.0,
        "family": "queries",
        "kinds": ["nodo-a", "nodo-b"],
        "categories": [
            {"name": "consulta", "aim": 1000.0, "aim_stretch": 2.0, "deadline": 5000.0, "group": "all",
             "late_worth": 0.0, "memory_span": 5000.0, "semantics": "idempotent", "streaming": False, "worth": 1.0},
            {"name": "informe", "aim": 2000.0, "aim_stretch": 2.5, "deadline": 20000.0, "group": "all",
             "late_worth": 0.4, "memory_span": 5000.0, "semantics": "idempotent", "streaming": False, "worth": 6.0},
            {"name": "carga", "aim": 3000.0, "aim_stretch": 3.0, "deadline": 20000.0, "group": "all",
             "late_worth": 0.5, "memory_span": 20000.0, "semantics": carga, "serial_by_key": True,
             "streaming": False, "worth": 4.0},
        ],
        "tenants": [
            {"name": "cusco", "quota_per_s": 39.0, "share": 0.7},
            {"name": "ayacucho", "quota_per_s": 17.0, "share": 0.3},
        ],
        "domain": {
            "dop": [1, 4, 2], "holds_tables": [False, False, True], "yields_to_loads": [True, True, False],
            "kind_cores": [8, 8], "kind_memory_mb": [16384.0, 16384.0], "largest_share": 0.4,
            "progress": 1000.0, "overbooked": "trim", "bills": False, "grants_count": False, "ranks_heeded": False,
        },
        "limits": {
            "cancelling": True, "conn_idle": 15000.0, "connect_timeout": 250.0, "max_attempts": 4,
            "max_open": 40000, "max_retry_after": 500.0, "may_duplicate": False, "peer_messages": False,
            "probes": False, "retry_after": True, "streams_per_conn": 100,
        },
        "rules": {
            "cold": 15000.0, "cold_share": 0.31, "drain_grace": 2000.0, "extra_floor": 2.0, "extra_window": 5000.0,
            "fall": 1500.0, "further_ratio": 0.1, "grace_to_answer": 20.0, "overload_factor": 3.0,
            "settle_after_doubt": 300.0, "ask_within": 10000.0,
        },
        "discovery": "push",
        "over_share_worth": 0.2,
        "telemetry": {"fields": [], "how": "silent"},
        "tier": 0,
        "tiers": ["motores"],
        "weight_kind": "rough",
        "worth_by": "request",
    }  # fmt: skip


def known_list(ports: dict[str, int], zone: str = "sala-lima") -> dict[str, Any]:
    """The start's list: one event with the whole list."""
    instances = [
        {"instanceId": name, "hostPort": f"127.0.0.1:{port}", "zone": zone, "machineType": "nodo-a", "cell": 0,
         "lifecycle": "Ready", "weight": 8, "startedAtMs": 0}
        for name, port in ports.items()
    ]  # fmt: skip
    return {"index": 1, "updates": [{"index": 1, "endpoints": {"generation": 1, "reset": False, "instances": instances}}]}


def configuration(listen_port: int, settings: dict[str, Any], ports: dict[str, int], **more: Any) -> dict[str, Any]:
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known_list(ports),
        "settings": settings,
    } | more
