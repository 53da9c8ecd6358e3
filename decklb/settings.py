"""The reader of a settings object (JSON), shared by the simulator's adapter and the real program.

The keys are the platform's and stay as they are; they are translated here once, into `interface.Settings`.
"""

from __future__ import annotations

from typing import Any

from decklb import interface as api

Json = dict[str, Any]


def settings_from(raw: Json) -> api.Settings:
    """Translate a settings object; absent optional settings mean off, unknown ones are skipped.

    Raises:
        KeyError: a class or tenant lacks a required key.
        ValueError: a figure that makes no sense, or an unknown kind of class.
    """
    rules, limits, domain = raw.get("rules", {}), raw.get("limits", {}), raw.get("domain", {})
    kinds, telemetry = raw.get("kinds", []), raw.get("telemetry", {})
    return api.Settings(
        classes={c["name"]: _class_from(c, i, domain) for i, c in enumerate(raw["categories"])},
        tenants={t["name"]: _tenant_from(t) for t in raw.get("tenants", [])},
        me=raw.get("me", 0),
        fronts=raw.get("balancers", 1),
        zone=raw.get("zone", ""),
        cores={kind: _value_at(domain, "kind_cores", i, 1) for i, kind in enumerate(kinds)},
        memory={kind: _value_at(domain, "kind_memory_mb", i, 0.0) for i, kind in enumerate(kinds)},
        largest_share=domain.get("largest_share", 1.0),
        grants=bool(domain.get("grants_count")),
        ranks=bool(domain.get("ranks_heeded")),
        bills=bool(domain.get("bills")),
        progress=domain.get("progress", 0.0),
        over_share_worth=raw.get("over_share_worth", 1.0),
        must_ask=raw.get("discovery") == "ask",
        ask_within=rules.get("ask_within", 0.0),
        cancelling=bool(limits.get("cancelling")),
        peers=bool(limits.get("peer_messages")),
        probes=bool(limits.get("probes")),
        fields=tuple(telemetry.get("fields") or ()) if telemetry.get("how", "silent") != "silent" else (),
        retry_after=bool(limits.get("retry_after")),
        max_retry_after=limits.get("max_retry_after", 0.0),
        duplicates=bool(limits.get("may_duplicate")),
        max_attempts=limits.get("max_attempts", 1),
        cold_share=rules.get("cold_share", 1.0),
        cold=rules.get("cold", 0.0),
        overload_factor=rules.get("overload_factor", 1.0),
        fall=rules.get("fall", 0.0),
        drain_grace=rules.get("drain_grace", 0.0),
        extra_floor=rules.get("extra_floor", 0.0),
        extra_ratio=rules.get("further_ratio"),
        extra_window=rules.get("extra_window", 0.0),
        settle=rules.get("settle_after_doubt", 0.0),
        tick=raw.get("tick", 1.0),
        goal=dict(raw.get("score_parts", {})),
    )


def _class_from(raw: Json, index: int, domain: Json) -> api.ClassSpec:
    """Translate a class; some of its figures stand in lists of the domain, at its index."""
    return api.ClassSpec(
        name=raw["name"],
        aim=raw["aim"],
        deadline=raw["deadline"],
        worth=raw.get("worth", 1.0),
        late_worth=raw.get("late_worth", 0.0),
        stretch=raw.get("aim_stretch", 0.0),
        effect=api.Effect(raw["semantics"]),
        group=raw.get("group", "all"),
        memory_span=raw.get("memory_span", 0.0),
        serial=bool(raw.get("serial_by_key")),
        streaming=bool(raw.get("streaming")),
        zones=tuple(raw["areas_open"]) if "areas_open" in raw else None,
        kinds=tuple(raw["served_on"]) if "served_on" in raw else None,
        threads=_value_at(domain, "dop", index, 1),
        holds=_value_at(domain, "holds_tables", index, False),
        yields=_value_at(domain, "yields_to_loads", index, False),
    )


def _tenant_from(raw: Json) -> api.TenantSpec:
    return api.TenantSpec(raw["name"], raw.get("share", 0.0), raw.get("quota_per_s"))


def _value_at(domain: Json, name: str, index: int, default: Any) -> Any:
    """A list's value at an index, or the default where the list is absent or too short."""
    values = domain.get(name) or []
    return values[index] if index < len(values) else default
