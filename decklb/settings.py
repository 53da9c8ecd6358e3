"""Parses the JSON settings object into `interface.Settings`, for the simulator's adapter and the daemon.

The platform defines the keys, so their spelling is fixed; they are translated here, in one place.
"""

from __future__ import annotations

from typing import Any

from decklb import interface as api

Json = dict[str, Any]


def parse_settings(raw: Json) -> api.Settings:
    """Parse a settings object. A feature whose settings are absent is off; unknown keys are ignored.

    Raises:
        KeyError: The classes, or a required key of a class or tenant, are missing.
        ValueError: A value is out of range, or the semantics of a class are unknown.
    """
    rules, limits, domain = raw.get("rules", {}), raw.get("limits", {}), raw.get("domain", {})
    kinds, telemetry = raw.get("kinds", []), raw.get("telemetry", {})
    return api.Settings(
        classes={c["name"]: _parse_class(c, i, domain) for i, c in enumerate(raw["categories"])},
        tenants={t["name"]: _parse_tenant(t) for t in raw.get("tenants", [])},
        gateway_index=raw.get("me", 0),
        gateway_count=raw.get("balancers", 1),
        zone=raw.get("zone", ""),
        cores_by_kind={kind: _value_at(domain, "kind_cores", i, 1) for i, kind in enumerate(kinds)},
        memory_mb_by_kind={kind: _value_at(domain, "kind_memory_mb", i, 0.0) for i, kind in enumerate(kinds)},
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


def _parse_class(raw: Json, index: int, domain: Json) -> api.RequestClass:
    """Parse a class; `domain` holds some of its values in lists that are indexed by the position of the class."""
    return api.RequestClass(
        name=raw["name"],
        latency_objective_ms=raw["aim"],
        deadline_ms=raw["deadline"],
        priority_weight=raw.get("worth", 1.0),
        late_priority_weight=raw.get("late_worth", 0.0),
        objective_stretch=raw.get("aim_stretch", 0.0),
        effect=api.Effect(raw["semantics"]),
        deduplication_scope=raw.get("group", "all"),
        deduplication_window_ms=raw.get("memory_span", 0.0),
        ordered_by_key=bool(raw.get("serial_by_key")),
        streaming=bool(raw.get("streaming")),
        allowed_zones=tuple(raw["areas_open"]) if "areas_open" in raw else None,
        allowed_kinds=tuple(raw["served_on"]) if "served_on" in raw else None,
        threads=_value_at(domain, "dop", index, 1),
        locks_tables=_value_at(domain, "holds_tables", index, False),
        waits_for_loads=_value_at(domain, "yields_to_loads", index, False),
    )


def _parse_tenant(raw: Json) -> api.TenantSpec:
    return api.TenantSpec(raw["name"], raw.get("share", 0.0), raw.get("quota_per_s"))


def _value_at(domain: Json, name: str, index: int, default: Any) -> Any:
    """Return element `index` of the list `name`, or the default if the list is absent or too short."""
    values = domain.get(name) or []
    return values[index] if index < len(values) else default
