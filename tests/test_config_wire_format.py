"""Compares the values read from configuration files, the schema and the error texts with recorded ones."""

from __future__ import annotations

import hashlib
import json
import re
from dataclasses import fields, is_dataclass
from enum import Enum

import pytest

from decklb import config
from decklb.config.xml import schema_text
from tests.standins import ROOT, SETTINGS, endpoint_list
from tests.test_settings_files import BROKEN, HEAD

GOLDEN = ROOT / "tests" / "golden"
FILES = [
    "deploy/cluster.xml",
    "deploy/handoff.xml",
    "deploy/locality.xml",
    "deploy/maintenance.xml",
    "deploy/postgres.xml",
    "tests/golden/config_every_key.xml",
]
# Maps, for each class, names of fields in the code to their names in the recorded values. When a field is renamed, only
# this table has to change.
RECORDED_NAMES: dict[str, dict[str, str]] = {
    "Settings": {
        "gateway_index": "me",
        "gateway_count": "fronts",
        "cores_by_kind": "cores",
        "memory_mb_by_kind": "memory",
        "largest_grant_fraction": "largest_share",
        "memory_grants": "grants",
        "priorities": "ranks",
        "usage_reported": "bills",
        "progress_interval_ms": "progress",
        "over_quota_weight": "over_share_worth",
        "must_subscribe": "must_ask",
        "subscribe_within_ms": "ask_within",
        "cancellation": "cancelling",
        "peer_messages": "peers",
        "health_checks": "probes",
        "load_report_fields": "fields",
        "max_retry_after_ms": "max_retry_after",
        "hedging": "duplicates",
        "slow_start_min_fraction": "cold_share",
        "slow_start_window_ms": "cold",
        "slow_start_overload_factor": "overload_factor",
        "slow_start_budget_window_ms": "fall",
        "drain_grace_ms": "drain_grace",
        "retry_budget_floor": "extra_floor",
        "retry_budget_ratio": "extra_ratio",
        "retry_budget_window_ms": "extra_window",
        "key_hold_down_ms": "settle",
        "tick_ms": "tick",
        "goal_weights": "goal",
    },
    "RequestClass": {
        "latency_objective_ms": "aim",
        "deadline_ms": "deadline",
        "priority_weight": "worth",
        "late_priority_weight": "late_worth",
        "objective_stretch": "stretch",
        "deduplication_scope": "group",
        "deduplication_window_ms": "memory_span",
        "ordered_by_key": "serial",
        "allowed_zones": "zones",
        "allowed_kinds": "kinds",
        "locks_tables": "holds",
        "waits_for_loads": "yields",
    },
    "SessionParameters": {
        "request_class": "lane",
        "budget_ms": "budget",
        "ordering_key": "key",
        "idempotency_key": "request",
    },
    "Config": {
        "max_descriptors": "sockets",
        "memory_mb": "memory",
        "connection_limits": "limits",
        "endpoint_list_version": "index",
        "endpoint_list_updates": "updates",
    },
    "MembershipSettings": {
        "cluster_name": "cluster",
        "probe_interval_ms": "interval",
        "probe_timeout_ms": "timeout",
        "gossip_interval_ms": "gossip",
        "gossip_fanout": "fanout",
        "indirect_probes": "indirect",
        "suspicion_multiplier": "suspicion",
        "suspicion_max_multiplier": "suspicion_most",
        "retransmit_base": "retransmit",
        "push_pull_interval_ms": "exchange",
        "settle_time_ms": "settle",
        "dead_retention_ms": "lately",
        "max_clock_skew_ms": "skew",
    },
    "DutySettings": {
        "period_ms": "period",
        "timeout_ms": "timeout",
        "max_concurrent": "most",
        "failures_to_decline": "hand_on",
        "max_declines": "hands",
        "decline_hold_ms": "rest",
        "warming_up_factor": "cold_factor",
        "repeat_interval_ms": "refresh",
        "mass_failure_hold_ms": "doubt",
        "mass_failure_ratio": "doubt_share",
    },
    "ClusterSettings": {
        "bind_address": "bind",
        "key_file": "keys",
        "health_checks": "probing",
        "advertise_address": "advertise",
    },
    "HandoffSettings": {
        "voter_count": "copies",
        "fleet_size": "members",
        "quorum_timeout_ms": "patience",
        "heartbeat_interval_ms": "beat",
        "resend_interval_ms": "resend",
        "claim_stagger_ms": "stagger",
        "max_budget_ms": "longest",
        "max_bytes": "room",
        "bucket_count": "buckets",
        "max_records": "capacity",
        "max_answer_bytes": "answer_bytes",
        "lease_ms": "lease",
        "max_clock_drift": "drift",
        "answer_retention_ms": "linger",
        "deadline_grace_ms": "slack",
        "store_folder": "data",
    },
    "LocalitySettings": {
        "home_zone": "zone",
        "member_count": "members",
        "decision_mode": "judge",
        "tick_ms": "tick",
        "health_check_interval_ms": "look",
        "health_check_timeout_ms": "timeout",
        "unhealthy_threshold": "misses",
        "observation_ttl_ms": "fresh",
        "stabilization_ms": "settle",
        "min_state_duration_ms": "hold",
        "vote_timeout_ms": "retry",
        "isolation_grace_ms": "keep",
        "recovery_ramp_ms": "ramp",
        "recovery_min_fraction": "ramp_floor",
        "out_threshold": "out",
        "degraded_threshold": "degraded",
        "degraded_latency_ratio": "slow",
        "max_utilization": "full",
        "panic_threshold": "panic",
    },
    "MaintenanceSettings": {
        "member_count": "members",
        "max_unavailable": "most",
        "max_unavailable_per_zone": "most_zone",
        "max_unavailable_zone_fraction": "most_share",
        "max_utilization": "reserve",
        "drain_timeout_ms": "drain",
        "warm_up_ms": "warm",
        "default_window_ms": "window",
        "tick_ms": "tick",
        "round_timeout_ms": "patience",
        "report_ttl_ms": "fresh",
        "absent_after_ms": "absent",
        "retained_jobs": "kept",
        "manager_voting_delay_ms": "memory",
        "data_directory": "data",
    },
    "PgSettings": {
        "write_class": "writes",
        "max_connections_per_engine": "connections",
        "max_result_bytes": "most_result",
        "max_message_bytes": "most_message",
    },
    "BgpSettings": {"bgp_identifier": "router", "hold_time_s": "hold"},
}
KEYED_CLASS = {"name": "keyed", "aim": 500.0, "deadline": 900.0, "semantics": "deduplicated", "memory_span": 700.0}
PLATFORM_CONFIG = {
    "name": "n",
    "listen": "127.0.0.1:7",
    "seed": "1f",
    "limits": {"sockets": 4096, "memory_mb": 300},
    "resolver": "127.0.0.1:8",
    "settings": SETTINGS
    | {"categories": [*SETTINGS["categories"], KEYED_CLASS], "domain": {"kind_cores": [8], "dop": [1, 1, 2]}},
    "known": endpoint_list(1, 2, index=5),
}


def to_plain(value):
    """Convert a settings object to plain JSON values, with the recorded names of its fields."""
    if is_dataclass(value):
        names = RECORDED_NAMES.get(type(value).__name__, {})
        return {names.get(f.name, f.name): to_plain(getattr(value, f.name)) for f in fields(value)}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {str(to_plain(k)): to_plain(v) for k, v in value.items()}
    if isinstance(value, list | tuple):
        return [to_plain(v) for v in value]
    if isinstance(value, set | frozenset):
        return sorted(map(to_plain, value))
    return value.replace(str(ROOT), "<root>") if isinstance(value, str) else value


def recorded(name):
    return json.loads((GOLDEN / f"config_{name}.json").read_text())


def derived_limits(loaded):
    return [loaded.max_clients, loaded.max_extra_clients, loaded.max_held_bytes]


@pytest.mark.parametrize("path", FILES)
def test_settings_file_gives_the_recorded_values(path):
    loaded = config.load(None, str(ROOT / path))
    assert [to_plain(loaded), derived_limits(loaded)] == recorded("values")[path]


def test_platform_file_gives_the_recorded_values(tmp_path, monkeypatch):
    (tmp_path / "platform.json").write_text(json.dumps(PLATFORM_CONFIG))
    loaded = config.load(str(tmp_path / "platform.json"))
    assert [to_plain(loaded), derived_limits(loaded)] == recorded("values")["platform"]
    monkeypatch.setenv("LB_NAME", "from-environment")
    monkeypatch.setenv("LB_LISTEN", "127.0.0.1:9")
    (tmp_path / "platform.json").write_text(json.dumps({"settings": SETTINGS}))
    monkeypatch.setenv("LB_CONFIG", str(tmp_path / "platform.json"))
    assert to_plain(config.load()) == recorded("values")["platform by environment"]


def test_settings_file_over_platform_file_gives_the_recorded_values(tmp_path):
    (tmp_path / "platform.json").write_text(json.dumps(PLATFORM_CONFIG))
    loaded = config.load(str(tmp_path / "platform.json"), str(ROOT / "deploy/postgres.xml"))
    assert to_plain(loaded) == recorded("values")["postgres over platform"]


@pytest.mark.parametrize("number", range(len(BROKEN)), ids=[message for _, _, message in BROKEN])
def test_broken_file_gives_the_recorded_faults(tmp_path, number):
    path = tmp_path / "s.xml"
    path.write_text(HEAD + BROKEN[number][0] + "\n</decklb>\n")
    with pytest.raises(config.SettingsError) as caught:
        config.load(None, str(path))
    message = str(caught.value).replace(str(path), "s.xml")
    # The length of the path depends on the temporary folder.
    assert re.sub(r"path has \d+ bytes", "path has N bytes", message).splitlines() == recorded("faults")[number]


@pytest.mark.parametrize("number", range(7))
def test_broken_platform_file_gives_the_recorded_error(tmp_path, number):
    body, message = recorded("platform_faults")[number]
    path = tmp_path / "platform.json"
    path.write_text(body)
    with pytest.raises(config.ConfigError) as caught:
        config.load(str(path))
    assert str(caught.value).replace(str(path), "platform.json") == message


def test_schema_is_the_recorded_one():
    digest = hashlib.sha256(schema_text().encode()).hexdigest()
    assert digest == recorded("values")["schema sha256"]
