"""Commands that inject faults into real manager processes, and check what clients and engines observe."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from decklb import log

if TYPE_CHECKING:
    from decklb.lab.fault_runs.connection_cut_run import CutRound
    from decklb.lab.fault_runs.system_call_run import CaseResult


@click.command()
@click.option("--seed", default=1, show_default=True, help="Draws the cases, where only a part is played.")
@click.option(
    "--part",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0, 1),
    help="Share of the matrix; at least one case of each call, side and front.",
)
@click.option("--at-once", default=2, show_default=True, type=click.IntRange(1, 8), help="Processes of each front.")
@click.option(
    "--program",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Folder of another version of the program, to compare with.",
)
@click.option("--json", "report", type=click.Path(path_type=Path), help="Write what came of each case to this file.")
@click.option("--before", type=click.Path(exists=True, path_type=Path), help="Such a file of another version.")
@click.option("--table", type=click.Path(path_type=Path), help="Write the table of all calls and errors, as Markdown.")
def calls(
    seed: int,
    part: float,
    at_once: int,
    program: Path | None,
    report: Path | None,
    before: Path | None,
    table: Path | None,
) -> None:
    """Make system calls of a serving process fail, one at a time, and check what its clients and engines see."""
    import asyncio

    import ujson

    from decklb.lab.fault_runs.program_process import ProgramStartError
    from decklb.lab.fault_runs.system_call_run import play_cases
    from decklb.lab.faults.interposer import InterposerError
    from decklb.lab.faults.system_call_cases import all_cases, sample_cases

    log.set_up("ERROR", "text")
    cases = all_cases() if part >= 1 else sample_cases(seed, part)

    async def play() -> list[CaseResult]:
        return [_print_violations(result) async for result in play_cases(cases, at_once, program)]

    try:
        results = asyncio.run(play())
    except (InterposerError, ProgramStartError) as error:
        raise click.ClickException(str(error)) from error
    failed = [result for result in results if result.violations]
    with_failed_call = sum(result.hits > 0 for result in results)
    click.echo(f"{len(results)} cases, {with_failed_call} in which a call failed, {len(failed)} with violations")
    rows = [_report_row(result) for result in results]
    if report is not None:
        report.write_text(ujson.dumps(rows, indent=1))
    if table is not None:
        table.write_text(_markdown_table(rows, ujson.loads(before.read_text()) if before is not None else []))
    if failed:
        raise SystemExit(1)


@click.command()
@click.option("--front", type=click.Choice(["platform", "postgres"]), default="platform", show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--rounds", default=20, show_default=True, type=click.IntRange(1, 1000))
@click.option(
    "--program",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Folder of another version of the program, to compare with.",
)
def cuts(front: str, seed: int, rounds: int, program: Path | None) -> None:
    """Strike engines' connections at drawn bytes of their answers, and check order and repeats as engines see them."""
    import asyncio

    from decklb.lab.fault_runs.connection_cut_run import play_cuts
    from decklb.lab.fault_runs.program_process import ProgramStartError

    log.set_up("ERROR", "text")

    async def play() -> list[CutRound]:
        return [_print_violations_of_round(result) async for result in play_cuts(front, seed, rounds, program)]

    try:
        results = asyncio.run(play())
    except ProgramStartError as error:
        raise click.ClickException(str(error)) from error
    failed = sum(bool(result.violations) for result in results)
    click.echo(
        f"{len(results)} rounds, {sum(result.fault_injected for result in results)} in which the fault took effect, "
        f"{failed} with violations"
    )
    if failed:
        raise SystemExit(1)


@click.command()
@click.option("--managers", default=30, show_default=True, type=click.IntRange(1, 200))
@click.option("--rate", default=10.0, show_default=True, help="Requests a second at each manager.")
@click.option("--seconds", default=8.0, show_default=True, help="How long the cold engine is watched.")
@click.option("--seed", default=1, show_default=True)
def ramp(managers: int, rate: float, seconds: float, seed: int) -> None:
    """Start many managers as processes and one cold engine, and count what all of them together send it."""
    import asyncio

    from decklb.lab.fault_runs.program_process import ProgramStartError
    from decklb.lab.fault_runs.slow_start_run import play

    log.set_up("ERROR", "text")
    try:
        result = asyncio.run(play(managers, rate, seconds, seed))
    except ProgramStartError as error:
        raise click.ClickException(str(error)) from error
    click.echo(
        f"{result.managers} managers, {result.requests} requests, {result.served} served, "
        f"{result.arrivals} at the cold engine; "
        f"its busiest window had {result.worst_load_ratio:.2f} times the allowed load"
    )
    if result.worst_load_ratio > 1.0:
        raise SystemExit(1)


def _print_violations_of_round(result: CutRound) -> CutRound:
    """Print the violations of a round, if any, and return the result unchanged."""
    if result.violations:
        click.echo(f"{result.fault.action.value} at byte {result.fault.after_bytes}: {'; '.join(result.violations)}")
    return result


def _print_violations(result: CaseResult) -> CaseResult:
    """Print the violations of a case, if any, with an excerpt of the log, and return the result unchanged."""
    if result.violations:
        click.echo(f"{result.case}: {'; '.join(result.violations)}")
        for line in result.log_excerpt:
            click.echo(f"    {line.rstrip()}")
    return result


def _report_row(result: CaseResult) -> dict[str, Any]:
    """Return the case and its result as an entry of the JSON report."""
    case = result.case
    return {
        "front": case.front,
        "call": case.call,
        "side": case.side,
        "error": case.error,
        "span": case.span,
        "hits": result.hits,
        "answers": {outcome.value: count for outcome, count in result.outcomes.items()},
        "faults": result.violations,
    }


def _markdown_table(rows_now: list[dict[str, Any]], rows_before: list[dict[str, Any]]) -> str:
    """Return a table with one line for each call, side and front.

    It shows how many cases held before and now, and for which errors a case did not hold before.

    Args:
        rows_now: Rows of this run's report.
        rows_before: Rows of another version's report; those of cases that this run did not play are ignored.
    """
    lines = [
        "# System calls that fail",
        "",
        "Written by `decklb lab calls --table`. Each case makes one call of a serving process fail with one error,",
        "once, for 0.3 s or for 1.5 s, while requests arrive on existing and on new connections. A case holds if",
        "every request gets one answer, no two attempts overlap, clients are accepted and the directory is queried",
        "again after the fault, the log reports the fault in single lines, no core is kept busy, and no engine is",
        "blamed.",
        "",
        "| call | side | front | cases | call failed | held before | held now | errors of cases that failed before |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    played_cases = {_case_key(row) for row in rows_now}
    groups_before = _group_by_call([row for row in rows_before if _case_key(row) in played_cases])
    for (call, side, front), rows in sorted(_group_by_call(rows_now).items()):
        group_before = groups_before.get((call, side, front), [])
        errors = sorted({row["error"] for row in group_before if row["faults"]})
        lines.append(
            f"| `{call}` | {side} | {front} | {len(rows)} | {sum(row['hits'] > 0 for row in rows)} | "
            f"{_count_held(group_before) if group_before else 'not played'} | "
            f"{_count_held(rows)} | {', '.join(errors)} |"
        )
    return "\n".join(lines) + "\n"


def _group_by_call(rows: list[dict[str, Any]]) -> dict[tuple[str, str, str], list[dict[str, Any]]]:
    groups = defaultdict(list)
    for row in rows:
        groups[row["call"], row["side"], row["front"]].append(row)
    return groups


def _case_key(row: dict[str, Any]) -> tuple[str, ...]:
    return tuple(row[field] for field in ("front", "call", "side", "error", "span"))


def _count_held(rows: list[dict[str, Any]]) -> int:
    return sum(not row["faults"] for row in rows)
