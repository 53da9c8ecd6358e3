"""The commands `keys new`, `keys list` and `keys rotate`: maintain the key file that the members of a cluster share."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

import click

T = TypeVar("T")


@click.group()
def keys() -> None:
    """The key file that seals what members say to one another."""


@keys.command()
@click.argument("path")
def new(path: str) -> None:
    """Make a key file with one key; never over one that is there."""
    from decklb.cluster import keyfile

    key = keyfile.generate()
    _call_or_fail(lambda: keyfile.write(path, [key], must_be_new=True))
    click.echo(f"{path}: key {key.name}")


@keys.command(name="list")
@click.argument("path")
def list_(path: str) -> None:
    """Name the keys, the one that seals first. Secrets are not shown."""
    from decklb.cluster import keyfile

    key_ring = _call_or_fail(lambda: keyfile.read(path))
    for position, key in enumerate(key_ring):
        click.echo(f"{key.name}  {key.created}  {'seals and opens' if position == 0 else 'opens'}")


@keys.command()
@click.argument("path")
@click.option(
    "--step",
    type=click.Choice(["add", "promote", "drop"]),
    required=True,
    help="One of three, in this order; each goes to all members, with SIGHUP, before the next.",
)
def rotate(path: str, step: str) -> None:
    """One step of replacing the key."""
    from decklb.cluster import keyfile

    rotation = keyfile.RotationStep(step)
    key_ring = _call_or_fail(lambda: keyfile.rotate(keyfile.read(path), rotation, keyfile.generate()))
    _call_or_fail(lambda: keyfile.write(path, key_ring))
    click.echo(
        f"{path}: {len(key_ring)} keys, {key_ring[0].name} seals; copy it to all members and send each of them SIGHUP"
    )


def _call_or_fail(call: Callable[[], T]) -> T:
    """Return the result of `call`; raise click.ClickException if the key file is unusable."""
    from decklb.cluster.errors import KeyFileError

    try:
        return call()
    except KeyFileError as error:
        raise click.ClickException(str(error)) from error
