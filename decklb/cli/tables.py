"""Formatting of tables and ages for the output of commands."""

from __future__ import annotations

import click

MINUTE_MS = 60_000


def print_table(rows: list[list[str]]) -> None:
    """Print rows with equal numbers of cells in aligned columns; the first row holds the headers."""
    widths = [max(len(row[i]) for row in rows) for i in range(len(rows[0]))]
    for row in rows:
        click.echo("  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip())


def format_age(age_ms: float | None) -> str:
    """Format an age in seconds or minutes; `-` for None."""
    if age_ms is None:
        return "-"
    return f"{age_ms / 1000:.1f}s" if age_ms < MINUTE_MS else f"{age_ms / MINUTE_MS:.0f}min"
