"""The translation of a settings object, shared by the simulator's adapter and the real program."""

from __future__ import annotations

from typing import Any

from decklb import interface as api

Json = dict[str, Any]


def settings_from(raw: Json) -> api.Settings:
    """Translate a `setup` object; absent optional settings mean off, unknown ones are skipped."""
    rules, limits, domain = raw.get("rules", {}), raw.get("limits", {}), raw.get("domain", {})
    kinds, telemetry = raw.get("kinds", []), raw.get("telemetry", {})

    def per(name: str, i: int, default: Any) -> Any:
        values = domain.get(name) or []
        return values[i] if i < len(values) else default

    classes = {}
    for i, c in enumerate(raw["categories"]):
        classes[c["name"]] = api.RequestClass(
            name=c["name"],
            latency_objective_ms=c["aim"],
            deadline_ms=c["deadline"],
            priority_weight=c.get("worth", 1.0),
            late_priority_weight=c.get("late_worth", 0.0),
            objective_stretch=c.get("aim_stretch", 0.0),
            effect=api.Effect(c["semantics"]),
            deduplication_scope=c.get("group", "all"),
            deduplication_window_ms=c.get("memory_span", 0.0),
            ordered_by_key=bool(c.get("serial_by_key")),
            streaming=bool(c.get("streaming")),
            allowed_zones=tuple(c["areas_open"]) if "areas_open" in c else None,
            allowed_kinds=tuple(c["served_on"]) if "served_on" in c else None,
            threads=per("dop", i, 1),
            locks_tables=per("holds_tables", i, False),
            waits_for_loads=per("yields_to_loads", i, False),
        )
    tenants = {
        t["name"]: api.TenantSpec(t["name"], t.get("share", 0.0), t.get("quota_per_s")) for t in raw.get("tenants", [])
    }
    return api.Settings(
        classes=classes,
        tenants=tenants,
        gateway_index=raw.get("me", 0),
        gateway_count=raw.get("balancers", 1),
        zone=raw.get("zone", ""),
        cores_by_kind={k: per("kind_cores", i, 1) for i, k in enumerate(kinds)},
        memory_mb_by_kind={k: per("kind_memory_mb", i, 0.0) for i, k in enumerate(kinds)},
        largest_grant_fraction=domain.get("largest_share", 1.0),
        memory_grants=bool(domain.get("grants_count")),
        priorities=bool(domain.get("ranks_heeded")),
        usage_reported=bool(domain.get("bills")),
        progress_interval_ms=domain.get("progress", 0.0),
        over_quota_weight=raw.get("over_share_worth", 1.0),
        must_subscribe=raw.get("discovery") == "ask",
        subscribe_within_ms=rules.get("ask_within", 0.0),
        cancellation=bool(limits.get("cancelling")),
        peer_messages=bool(limits.get("peer_messages")),
        health_checks=bool(limits.get("probes")),
        load_report_fields=tuple(telemetry.get("fields") or ()) if telemetry.get("how", "silent") != "silent" else (),
        retry_after=bool(limits.get("retry_after")),
        max_retry_after_ms=limits.get("max_retry_after", 0.0),
        hedging=bool(limits.get("may_duplicate")),
        max_attempts=limits.get("max_attempts", 1),
        slow_start_min_fraction=rules.get("cold_share", 1.0),
        slow_start_window_ms=rules.get("cold", 0.0),
        slow_start_overload_factor=rules.get("overload_factor", 1.0),
        slow_start_budget_window_ms=rules.get("fall", 0.0),
        drain_grace_ms=rules.get("drain_grace", 0.0),
        retry_budget_floor=rules.get("extra_floor", 0.0),
        retry_budget_ratio=rules.get("further_ratio"),
        retry_budget_window_ms=rules.get("extra_window", 0.0),
        key_hold_down_ms=rules.get("settle_after_doubt", 0.0),
        tick_ms=raw.get("tick", 1.0),
        goal_weights=dict(raw.get("score_parts", {})),
    )
