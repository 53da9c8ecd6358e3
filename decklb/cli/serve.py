"""Running the program, and looking at what it would be told."""

from __future__ import annotations

from importlib import metadata

import click

from decklb import config as configuration
from decklb import log
from decklb.cli.options import CONFIG, SETTINGS


@click.command()
@CONFIG
@SETTINGS
@click.option("--log-level", default="INFO", show_default=True, help="Least level that is logged.")
@click.option(
    "--log-format",
    type=click.Choice(log.FORMATS),
    default="text",
    show_default=True,
    help="Lines for people, or one JSON object a line.",
)
def serve(path: str | None, settings: str | None, log_level: str, log_format: str) -> None:
    """Serve until SIGTERM, then drain and exit."""
    log.set_up(log_level, log_format)
    from decklb.wire.reactor import install

    reactor = install()  # before anything imports Twisted's default one
    log.redirect_twisted()
    from decklb.daemon.service import Service
    from decklb.wire.clock import use_monotonic_time

    try:
        use_monotonic_time(reactor)
        service = Service(reactor, _load(path, settings), lambda: configuration.load(path, settings))
    except configuration.ConfigError as error:
        raise click.ClickException(str(error)) from error
    service.run()


@click.command()
@CONFIG
@SETTINGS
def check(path: str | None, settings: str | None) -> None:
    """Read a configuration and say what holds, or every fault that it has."""
    c = _load(path, settings)
    click.echo(
        f"{c.name}: listens on {c.listen[0]}:{c.listen[1]}, {len(c.settings.classes)} classes, "
        f"{len(c.settings.tenants)} tenants, {c.max_clients} clients at most, "
        f"manager {c.settings.gateway_index} of {c.settings.gateway_count}"
    )
    for name, x in c.settings.classes.items():
        click.echo(
            f"class {name}: aim {x.latency_objective_ms:g}ms, deadline {x.deadline_ms:g}ms, {x.effect.value}, "
            f"{x.threads} threads{', in order by key' if x.ordered_by_key else ''}"
        )
    for name, t in c.settings.tenants.items():
        click.echo(f"tenant {name}: share {100 * t.share:g}%")
    if c.postgres is not None:
        connections = c.postgres.max_connections_per_engine
        click.echo(f"postgres: {len(c.postgres.users)} users named, {connections} connections to an engine")
    if c.bgp is not None:
        click.echo(f"bgp: AS {c.bgp.asn} announces {', '.join(c.bgp.prefixes)} to {len(c.bgp.peers)} peers")
    if (k := c.cluster) is not None:
        m = k.membership
        click.echo(
            f"cluster {m.cluster_name}: member {k.member} on {k.bind_address[0]}:{k.bind_address[1]}, "
            f"{len(k.seeds)} seeds, keys in {k.key_file}, a probe of a member each {m.probe_interval_ms:g}ms"
        )
        if (d := k.health_checks) is not None:
            click.echo(
                f"probing: each engine each {d.period_ms:g}ms, {d.timeout_ms:g}ms for an answer, "
                f"{d.max_concurrent} at a time, handed on after {d.failures_to_decline} failures"
            )
    if (h := c.handoff) is not None:
        click.echo(
            f"handoff: {h.voter_count} voters a key among {h.fleet_size} members, a lease of {h.lease_ms:g}ms, budgets "
            f"up to {h.max_budget_ms:g}ms; records live {h.record_lifetime_ms:.0f}ms at most"
        )
    if (y := c.locality) is not None:
        click.echo(
            f"locality: zone {y.home_zone} of {len(y.region_of)} zones in {len(y.regions)} regions, judged "
            f"{f'by {y.member_count // 2 + 1} members at least' if y.decision_mode == 'common' else 'alone'}, "
            f"a state holds {y.min_state_duration_ms:g}ms at least"
        )
    if (n := c.maintenance) is not None:
        click.echo(
            f"maintenance: {n.max_unavailable} machines out at a time, {n.max_unavailable_per_zone} of a zone, "
            f"{100 * n.max_unavailable_zone_fraction:g}% of its cores, "
            f"agreed on by {n.member_count // 2 + 1} of {n.member_count} members; "
            f"{n.drain_timeout_ms:g}ms to drain, {n.warm_up_ms:g}ms to warm"
        )
    if c.control:
        click.echo(f"control: {c.control}")


@click.command()
def schema() -> None:
    """Print the schema (XSD) of the operators' settings."""
    from decklb.config.xml import schema_text

    click.echo(schema_text(), nl=False)


@click.command()
def version() -> None:
    """Print the version."""
    try:
        click.echo(metadata.version("decklb"))
    except metadata.PackageNotFoundError:  # run from a checkout
        click.echo("decklb, from a checkout")


def _load(path: str | None, settings: str | None) -> configuration.Config:
    try:
        return configuration.load(path, settings)
    except configuration.ConfigError as error:
        raise click.ClickException(str(error)) from error
    except ImportError as error:
        raise click.ClickException(f"{error}; settings in XML need `pip install decklb[cluster]`") from error
