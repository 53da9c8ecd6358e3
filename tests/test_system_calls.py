"""System calls of a serving process that fail, set clocks and short writes; the whole matrix is `decklb lab calls`."""

from __future__ import annotations

import asyncio
import errno
import os
import signal

import pytest

from decklb.lab.fault_runs.program_process import ProgramProcess, running_program
from decklb.lab.fault_runs.system_call_run import play_cases
from decklb.lab.faults import system_call_cases as cases
from decklb.lab.faults.interposer import CALLS, Interposer, InterposerError

SEED, PART = 31, 0.1


@pytest.mark.parametrize("front", cases.FRONTS)
def test_a_part_of_the_matrix_holds(front):
    """At least one case of each call and side."""
    chosen = [case for case in cases.some_cases(SEED, PART) if case.front == front]

    async def play():
        return [played async for played in play_cases(chosen, 2)]

    made = asyncio.run(play())
    assert [(str(p.case), p.violations, p.log_excerpt) for p in made if p.violations] == []
    assert sum(p.hits > 0 for p in made) >= 0.8 * len(made)


def test_the_matrix_names_only_calls_and_errors_that_there_are():
    for case in cases.all_cases():
        assert case.call in CALLS
        assert case.errno in errno.errorcode


def test_a_rule_that_cannot_be_is_refused(tmp_path):
    interposer = Interposer(tmp_path)
    with pytest.raises(InterposerError, match="unknown call"):
        interposer.fail("sendfile", errno.EIO)
    with pytest.raises(InterposerError, match="at most"):
        for _ in range(100):
            interposer.fail("recv", errno.EIO)


def started(front, act):
    """What `act(program)` gives on a program that runs."""

    async def play():
        async with running_program(front) as program:
            return await act(program)

    return asyncio.run(play())


@pytest.mark.parametrize("front", cases.FRONTS)
def test_calls_that_move_a_byte_at_a_time_change_no_answer(front):
    async def act(program):
        rules = [program.interposer.fail(call, most=1) for call in ("recv", "send")]
        answers = [await program.request_on_new_connection() for _ in range(3)]
        return answers, [rule.hits > 100 for rule in rules]

    assert started(front, act) == (["served"] * 3, [True, True])


@pytest.mark.parametrize(
    ("call", "error"), [("socket", errno.EMFILE), ("bind", errno.EADDRINUSE), ("sendto", errno.ENETUNREACH)]
)
def test_a_directory_that_cannot_be_asked_at_the_start_is_asked_later(tmp_path, call, error):
    """Seen before: the process did not start."""

    async def play():
        program = ProgramProcess("platform", tmp_path, None)
        rule = program.interposer.fail(call, error, count=1)
        try:
            await program.start()
            answer, asked = await program.request_on_new_connection(), await program.wait_for_directory_question(0)
            return rule.hits, answer, asked
        finally:
            await program.stop()

    assert asyncio.run(play()) == (1, "served", True)


@pytest.mark.parametrize("seconds", [3600.0, -3600.0, 5.0, -5.0])
@pytest.mark.parametrize("when", ["under-requests", "in-a-reload", "in-a-drain"])
def test_a_wall_clock_that_is_set_changes_no_answer_and_no_end(seconds, when):
    async def act(program):
        process = program.process
        if when == "in-a-drain":
            process.terminate()
            while not program.first_log_line("draining"):
                await asyncio.sleep(0.01)
        open_ = [asyncio.create_task(program.request_on_new_connection()) for _ in range(5)]
        program.interposer.set_wall_clock(seconds)
        answers = await asyncio.gather(*open_)
        if when == "in-a-reload":
            process.send_signal(signal.SIGHUP)
            while not program.first_log_line("configuration read"):
                await asyncio.sleep(0.01)
        if when != "in-a-drain":
            answers += [await program.request_on_new_connection() for _ in range(5)]
            process.terminate()
        async with asyncio.timeout(20):
            await process.wait()
        return set(answers), process.returncode

    answers, code = started("platform", act)
    assert (answers <= {"served", "refused"} if when == "in-a-drain" else answers == {"served"}, code) == (True, 0)


def test_what_waits_in_the_queue_at_a_drain_is_answered_in_spite_of_errors():
    """Seen before: one error ended the loop, and the listener was closed on who still waited."""

    async def act(program):
        program.process.terminate()
        while not program.first_log_line("draining"):
            await asyncio.sleep(0.01)
        program.interposer.fail("accept4", errno.ENFILE, port=program.port, count=20)
        answers = await asyncio.gather(*[program.request_on_new_connection() for _ in range(10)])
        await program.process.wait()
        return set(answers) <= {"served", "refused"}, program.process.returncode

    assert started("platform", act) == (True, 0)


def test_the_interposer_leaves_a_process_alone_that_it_is_not_asked_to_strike(tmp_path):
    environment = Interposer(tmp_path).environment(os.environ)
    assert environment["LD_PRELOAD"].startswith(str(tmp_path))
