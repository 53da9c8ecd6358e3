"""The command `check`: reads a configuration and prints a summary line for each section that is present."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

import click

from decklb.cli.config_files import load_config
from decklb.cli.options import CONFIG, SETTINGS

if TYPE_CHECKING:
    from decklb.bgp.settings import BgpSettings
    from decklb.cluster.settings import ClusterSettings, DutySettings
    from decklb.config import Config
    from decklb.handoff.settings import HandoffSettings
    from decklb.interface import Settings
    from decklb.locality.settings import LocalitySettings
    from decklb.maintenance.settings import MaintenanceSettings
    from decklb.pg.settings import PgSettings


@click.command()
@CONFIG
@SETTINGS
def check(path: str | None, settings: str | None) -> None:
    """Read a configuration and say what holds, or every fault that it has."""
    for line in _config_lines(load_config(path, settings)):
        click.echo(line)


def _config_lines(config: Config) -> Iterator[str]:
    """Yield the lines of the process itself, then those of each section that is present."""
    yield _process_line(config)
    yield from _decision_lines(config.settings)
    if config.postgres is not None:
        yield _postgres_line(config.postgres)
    if config.bgp is not None:
        yield _bgp_line(config.bgp)
    if config.cluster is not None:
        yield _cluster_line(config.cluster)
        if config.cluster.health_checks is not None:
            yield _health_check_line(config.cluster.health_checks)
    if config.handoff is not None:
        yield _handoff_line(config.handoff)
    if config.locality is not None:
        yield _locality_line(config.locality)
    if config.maintenance is not None:
        yield _maintenance_line(config.maintenance)
    if config.control:
        yield f"control: {config.control}"


def _process_line(config: Config) -> str:
    host, port = config.listen
    settings = config.settings
    return (
        f"{config.name}: listens on {host}:{port}, {len(settings.classes)} classes, "
        f"{len(settings.tenants)} tenants, {config.max_clients} clients at most, "
        f"manager {settings.gateway_index} of {settings.gateway_count}"
    )


def _decision_lines(settings: Settings) -> Iterator[str]:
    for name, request_class in settings.classes.items():
        yield (
            f"class {name}: aim {request_class.latency_objective_ms:g}ms, deadline {request_class.deadline_ms:g}ms, "
            f"{request_class.effect.value}, {request_class.threads} threads"
            f"{', in order by key' if request_class.ordered_by_key else ''}"
        )
    for name, tenant in settings.tenants.items():
        yield f"tenant {name}: share {100 * tenant.share:g}%"


def _postgres_line(postgres: PgSettings) -> str:
    connections = postgres.max_connections_per_engine
    return f"postgres: {len(postgres.users)} users named, {connections} connections to an engine"


def _bgp_line(bgp: BgpSettings) -> str:
    return f"bgp: AS {bgp.asn} announces {', '.join(bgp.prefixes)} to {len(bgp.peers)} peers"


def _cluster_line(cluster: ClusterSettings) -> str:
    host, port = cluster.bind_address
    membership = cluster.membership
    return (
        f"cluster {membership.cluster_name}: member {cluster.member} on {host}:{port}, "
        f"{len(cluster.seeds)} seeds, keys in {cluster.key_file}, "
        f"a probe of a member each {membership.probe_interval_ms:g}ms"
    )


def _health_check_line(health_checks: DutySettings) -> str:
    return (
        f"probing: each engine each {health_checks.period_ms:g}ms, {health_checks.timeout_ms:g}ms for an answer, "
        f"{health_checks.max_concurrent} at a time, handed on after {health_checks.failures_to_decline} failures"
    )


def _handoff_line(handoff: HandoffSettings) -> str:
    return (
        f"handoff: {handoff.voter_count} voters a key among {handoff.fleet_size} members, "
        f"a lease of {handoff.lease_ms:g}ms, budgets up to {handoff.max_budget_ms:g}ms; "
        f"records live {handoff.record_lifetime_ms:.0f}ms at most"
    )


def _locality_line(locality: LocalitySettings) -> str:
    quorum = locality.member_count // 2 + 1
    decision = f"by {quorum} members at least" if locality.decision_mode == "common" else "alone"
    return (
        f"locality: zone {locality.home_zone} of {len(locality.region_of)} zones in {len(locality.regions)} regions, "
        f"judged {decision}, a state holds {locality.min_state_duration_ms:g}ms at least"
    )


def _maintenance_line(maintenance: MaintenanceSettings) -> str:
    quorum = maintenance.member_count // 2 + 1
    return (
        f"maintenance: {maintenance.max_unavailable} machines out at a time, "
        f"{maintenance.max_unavailable_per_zone} of a zone, "
        f"{100 * maintenance.max_unavailable_zone_fraction:g}% of its cores, "
        f"agreed on by {quorum} of {maintenance.member_count} members; "
        f"{maintenance.drain_timeout_ms:g}ms to drain, {maintenance.warm_up_ms:g}ms to warm"
    )
