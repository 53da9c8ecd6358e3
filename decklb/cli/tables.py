"""Tables and ages, as commands print them."""

from __future__ import annotations

import click

MINUTE_MS = 60_000


def print_table(rows: list[list[str]]) -> None:
    """Print rows of as many cells each in aligned columns; the first row is the heads."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def format_age(ms: float | None) -> str:
    """An age in seconds or minutes; `-` for none."""
    if ms is None:
        return "-"
    return f"{ms / 1000:.1f}s" if ms < MINUTE_MS else f"{ms / MINUTE_MS:.0f}min"
