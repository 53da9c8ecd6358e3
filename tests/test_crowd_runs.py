"""The soak's checker finds each planted fault, and a manager holds under short crowds and a short soak."""

from __future__ import annotations

import asyncio

import pytest

from decklb.lab.crowds.picture_run import late_attempts, play_picture
from decklb.lab.crowds.reports import (
    AnswerKind,
    ClientReport,
    ClientTask,
    decode_report,
    decode_task,
    encode_report,
    encode_task,
)
from decklb.lab.crowds.shapes import PICTURES, draw_crowds
from decklb.lab.crowds.soak_plan import DEADLINES_MS, Step, draw_plan
from decklb.lab.crowds.soak_run import play_soak
from decklb.lab.crowds.soak_verdict import ManagerRecord, SoakRecord, findings
from decklb.lab.standins.recording_peers import RecordedAttempt

MEMORY_MB = 192.0


def record(**values):
    return SoakRecord([ManagerRecord(MEMORY_MB, **values)])


def lost(*spans):
    report = ClientReport(lost_spans=list(spans))
    report.answers[AnswerKind.LOST] = len(spans)
    return report


def repeated():
    report = ClientReport()
    report.count(AnswerKind.REPEATED)
    return report


PLANTED = {
    "resident memory": record(peaks_mb=[40.0, 0.9 * MEMORY_MB + 1]),
    "exit with status 1": record(unexpected_exits=[1]),
    "1 starts failed": record(failed_starts=1),
    "log: Traceback": record(log_errors=["Traceback"]),
    "1 second answers to usual": record(usual=repeated()),
    "1 second answers to crowd": record(crowd=repeated()),
    "1 requests of usual clients lost": record(usual=lost((10.0, 11.0))),
    "2 requests of usual clients lost": record(usual=lost((10.0, 11.0), (30.0, 31.0)), killed_at=[20.0]),
    "1 attempts began after their client had left, worst 150 ms": SoakRecord([], late_attempts_ms=[150.0]),
    "two attempts of 7 at once": SoakRecord([], overlaps=["two attempts of 7 at once"]),
}


@pytest.mark.parametrize("finding", PLANTED)
def test_a_planted_fault_is_found(finding):
    assert [text for text in findings(PLANTED[finding]) if text.startswith(finding)]
    assert len(findings(PLANTED[finding])) == 1


def test_nothing_is_found_where_nothing_broke():
    assert findings(record(peaks_mb=[0.9 * MEMORY_MB])) == []


def test_a_loss_is_excused_by_a_kill_meanwhile_and_after_the_grace_of_a_drain_only():
    assert not findings(record(usual=lost((10.0, 12.0)), killed_at=[11.0]))
    assert not findings(record(usual=lost((10.8, 12.0)), terminated_at=[10.0]))
    assert findings(record(usual=lost((10.6, 12.0)), terminated_at=[10.0]))
    assert findings(record(usual=lost((20.0, 21.0)), terminated_at=[10.0], killed_at=[15.0]))
    assert not findings(record(usual=lost((10.6, 10.649)), terminated_at=[10.0]))
    assert findings(record(usual=lost((10.6, 10.66)), terminated_at=[10.0]))
    assert findings(record(usual=lost((9.9, 9.95)), terminated_at=[10.0]))
    assert findings(record(usual=lost((20.0, 20.01)), terminated_at=[10.0], killed_at=[15.0]))


def test_an_attempt_is_late_only_if_it_began_long_after_its_client_had_left():
    attempts = [RecordedAttempt("0000000100000001", 10.05), RecordedAttempt("0000000100000002", 10.3)]
    assert late_attempts(attempts, {"00000001": 10.0}) == [pytest.approx(300.0)]


def test_a_seed_draws_the_same_run_and_seeds_draw_all_steps():
    assert draw_plan(5, 8.0, 3) == draw_plan(5, 8.0, 3)
    plans = [draw_plan(seed, 8.0, 2) for seed in range(200)]
    assert {timed.step for plan in plans for timed in plan.steps} == set(Step)
    assert {plan.deadline_ms for plan in plans} == set(DEADLINES_MS)
    assert {plan.front for plan in plans} == {"platform", "postgres"}


def test_tasks_and_reports_pass_between_processes_unchanged():
    import random

    task = ClientTask("127.0.0.1", 1, "platform", 2.0, 3, draw_crowds(random.Random(1), "platform", 8.0), 4)
    assert decode_task(encode_task(task)) == task
    report = ClientReport(times_ms=[1.0, 2.5], left_at={"a": 1.5}, lost_spans=[(1.0, 2.0)])
    assert decode_report(encode_report(report)).times_ms == report.times_ms


@pytest.mark.parametrize(
    "name",
    ["340 whole and partial", "60 leaving", "340 short fields", "three crowds", "pg 200 partial", "pg 200 prepared"],
)
def test_resident_memory_stays_below_nine_tenths_of_the_limit_beside_a_crowd(name):
    picture = next(picture for picture in PICTURES if picture.name == name)
    result = asyncio.run(play_picture(picture, 2.5, seed=3))
    assert result.peak_mb <= 0.9 * MEMORY_MB
    assert result.exit_status is None
    assert result.overlaps == []
    assert result.usual.answers[AnswerKind.SERVED] > 0
    assert result.usual.answers[AnswerKind.LOST] == 0


@pytest.mark.parametrize(("seed", "managers"), [(2, 1), (5, 1), (6, 1), (11, 3)])
def test_a_short_soak_finds_no_broken_rule(seed, managers):
    assert findings(asyncio.run(play_soak(seed, 6.0, managers))) == []
