"""Checks the values of the option --case, which several commands have."""

from __future__ import annotations

from collections.abc import Iterable

import click


def check_cases(chosen: Iterable[str], known: Iterable[str]) -> None:
    """Check that all chosen cases are known.

    Raises:
        click.ClickException: A chosen case is unknown.
    """
    if unknown := set(chosen) - set(known):
        raise click.ClickException(f"no case {min(unknown)!r}; one of {', '.join(known)}")
