"""A serving process under failing system calls, short reads and writes, and jumps of the wall clock.

The command `decklb lab calls` runs the whole matrix of failing calls.
"""

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

SEED, MATRIX_FRACTION = 31, 0.1


@pytest.mark.parametrize("front", cases.FRONTS)
def test_a_sample_of_the_matrix_breaks_no_rule(front):
    """The sample has at least one case of each call and side."""
    sample = [case for case in cases.sample_cases(SEED, MATRIX_FRACTION) if case.front == front]

    async def play():
        return [result async for result in play_cases(sample, 2)]

    results = asyncio.run(play())
    assert [(str(r.case), r.violations, r.log_excerpt) for r in results if r.violations] == []
    assert sum(r.hits > 0 for r in results) >= 0.8 * len(results)


def test_the_matrix_contains_only_known_calls_and_errors():
    for case in cases.all_cases():
        assert case.call in CALLS
        assert case.errno in errno.errorcode


def test_an_invalid_rule_or_too_many_rules_are_refused(tmp_path):
    interposer = Interposer(tmp_path)
    with pytest.raises(InterposerError, match="unknown call"):
        interposer.add_rule("sendfile", errno.EIO)
    with pytest.raises(InterposerError, match="at most"):
        for _ in range(100):
            interposer.add_rule("recv", errno.EIO)


def run_on_program(front, act):
    """Start a program and return the result of `act(program)`."""

    async def play():
        async with running_program(front) as program:
            return await act(program)

    return asyncio.run(play())


@pytest.mark.parametrize("front", cases.FRONTS)
def test_single_byte_reads_and_writes_change_no_answer(front):
    async def act(program):
        rules = [program.interposer.add_rule(call, max_bytes=1) for call in ("recv", "send")]
        answers = [await program.request_on_new_connection() for _ in range(3)]
        return answers, [rule.hits > 100 for rule in rules]

    assert run_on_program(front, act) == (["served"] * 3, [True, True])


@pytest.mark.parametrize(
    ("call", "error"), [("socket", errno.EMFILE), ("bind", errno.EADDRINUSE), ("sendto", errno.ENETUNREACH)]
)
def test_a_failed_directory_query_at_the_start_is_repeated_later(tmp_path, call, error):
    """An error of the first directory query used to keep the process from starting."""

    async def play():
        program = ProgramProcess("platform", tmp_path, None)
        rule = program.interposer.add_rule(call, error, count=1)
        try:
            await program.start()
            answer, queried = await program.request_on_new_connection(), await program.wait_for_directory_query(0)
            return rule.hits, answer, queried
        finally:
            await program.stop()

    assert asyncio.run(play()) == (1, "served", True)


@pytest.mark.parametrize("seconds", [3600.0, -3600.0, 5.0, -5.0])
@pytest.mark.parametrize("when", ["under-requests", "in-a-reload", "in-a-drain"])
def test_a_jump_of_the_wall_clock_affects_neither_answers_nor_the_shutdown(seconds, when):
    async def act(program):
        process = program.process
        if when == "in-a-drain":
            process.terminate()
            while not program.first_log_line("draining"):
                await asyncio.sleep(0.01)
        requests = [asyncio.create_task(program.request_on_new_connection()) for _ in range(5)]
        program.interposer.set_wall_clock(seconds)
        answers = await asyncio.gather(*requests)
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

    answers, exit_status = run_on_program("platform", act)
    assert (
        answers <= {"served", "refused"} if when == "in-a-drain" else answers == {"served"},
        exit_status,
    ) == (True, 0)


def test_connections_in_the_listen_queue_at_a_drain_are_answered_despite_accept_errors():
    """A single error of accept used to end the accept loop; the listener was closed with connections in its queue."""

    async def act(program):
        program.process.terminate()
        while not program.first_log_line("draining"):
            await asyncio.sleep(0.01)
        program.interposer.add_rule("accept4", errno.ENFILE, port=program.port, count=20)
        answers = await asyncio.gather(*[program.request_on_new_connection() for _ in range(10)])
        await program.process.wait()
        return set(answers) <= {"served", "refused"}, program.process.returncode

    assert run_on_program("platform", act) == (True, 0)


def test_the_environment_preloads_a_library_from_the_given_folder(tmp_path):
    environment = Interposer(tmp_path).environment(os.environ)
    assert environment["LD_PRELOAD"].startswith(str(tmp_path))
