"""Checks the names of cases that the option --case of several commands takes."""

from __future__ import annotations

from collections.abc import Iterable

import click


def check_cases(chosen: Iterable[str], known: Iterable[str]) -> None:
    """Raise click.ClickException where a chosen case is not among the known ones."""
    if unknown := set(chosen) - set(known):
        raise click.ClickException(f"no case {min(unknown)!r}; one of {', '.join(known)}")
