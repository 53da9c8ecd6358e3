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
        classes[c["name"]] = api.ClassSpec(
            name=c["name"],
            aim=c["aim"],
            deadline=c["deadline"],
            worth=c.get("worth", 1.0),
            late_worth=c.get("late_worth", 0.0),
            stretch=c.get("aim_stretch", 0.0),
            effect=api.Effect(c["semantics"]),
            group=c.get("group", "all"),
            memory_span=c.get("memory_span", 0.0),
            serial=bool(c.get("serial_by_key")),
            streaming=bool(c.get("streaming")),
            zones=tuple(c["areas_open"]) if "areas_open" in c else None,
            kinds=tuple(c["served_on"]) if "served_on" in c else None,
            threads=per("dop", i, 1),
            holds=per("holds_tables", i, False),
            yields=per("yields_to_loads", i, False),
        )
    tenants = {
        t["name"]: api.TenantSpec(t["name"], t.get("share", 0.0), t.get("quota_per_s")) for t in raw.get("tenants", [])
    }
    return api.Settings(
        classes=classes,
        tenants=tenants,
        me=raw.get("me", 0),
        fronts=raw.get("balancers", 1),
        zone=raw.get("zone", ""),
        cores={k: per("kind_cores", i, 1) for i, k in enumerate(kinds)},
        memory={k: per("kind_memory_mb", i, 0.0) for i, k in enumerate(kinds)},
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
