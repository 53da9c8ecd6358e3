"""Attempts whose end is uncertain: the connection is lost, or goes silent, right after a complete answer.

The engine may then still be executing the request (incident 1, docs/incidents), so the ordering key must be held down.
The program runs as a process with real sockets. All bounds are minimum times between two events that the engines
observe, so a slow machine can't change the result.
"""

from __future__ import annotations

import asyncio
import copy
import socket
import struct
import time

import pytest

from decklb.lab.fault_runs.connection_cut_run import play_cuts
from decklb.net import frames, resp
from decklb.pg import messages as pg
from tests.frame_standins import Client, RespEngine, request
from tests.pg_program import POSTGRES, ScriptedClient
from tests.standins import SETTINGS, Loop, PgEngine, Program, endpoint_list, wait_for

HOLD_DOWN_MS = 400.0  # how long a key is blocked after an attempt with an uncertain end
RULES = {"rules": SETTINGS["rules"] | {"settle_after_doubt": HOLD_DOWN_MS}}


def end_connection(writer, how):
    """End the connection right after what was written: by a reset, by a close, or not at all for 'silence'."""
    if how in ("reset", "short"):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
    elif how == "close":
        writer.close()


class CutEngine(RespEngine):
    """Answers 'cut HOW' completely ('short': except for the last byte), then ends the connection; records the times."""

    def __init__(self, loop):
        self.started, self.ended = [], []
        super().__init__(loop)

    def _do(self, writer, ident, words):
        self.started.append((ident, time.monotonic()))
        if words[0] == b"cut":
            answer = resp.pack(ident, b"data", b"parts=1", b"a\tb\tc\n")
            writer.write(answer[:-1] if words[1] == b"short" else answer)
            end_connection(writer, words[1].decode())
            self.ended.append((ident, time.monotonic()))
        else:
            super()._do(writer, ident, words)


class CutPgEngine(PgEngine):
    """The same for PostgreSQL."""

    def __init__(self, loop):
        self.started, self.ended = [], []
        super().__init__(loop)

    async def _run(self, sql, row, cancelled, writer, describe):
        self.started.append((sql, time.monotonic()))
        out, failed = await super()._run(sql, row, cancelled, writer, describe)
        if sql.startswith("cut"):
            self.ended.append((sql, time.monotonic()))
        if sql.startswith("cut") and sql != "cut silence":
            answer = out + pg.READY_FOR_QUERY
            writer.write(answer[:-1] if sql == "cut short" else answer)
            end_connection(writer, sql.split()[1])
            raise ConnectionError
        return out, failed


class PlatformClient:
    """A client of the platform's front: sends requests with one ordering key on one connection."""

    engine = CutEngine
    config: dict = {}

    def __init__(self, port):
        self.client, self.stream = Client(port), 0

    def send(self, statement):
        self.stream += 1
        self.client.send(request(self.stream, statement.encode(), method="load", obj="k"))

    def answer(self):
        return {frames.SERVED: "served", frames.FAILED: "failed"}.get(self.client.next().payload[0])


class PostgresClient:
    """A client of the PostgreSQL front: opens one session for each statement."""

    engine = CutPgEngine
    config = {"postgres": POSTGRES}

    def __init__(self, port):
        self.port, self.sessions = port, []

    def send(self, statement):
        session = ScriptedClient(self.port, options="-c decklb.class=load -c decklb.key=k", user="cargador")
        self.sessions.append(session)
        session.send(pg.pack(b"Q", statement.encode() + b"\0"))

    def answer(self):
        return "served" if b"C" in self.sessions.pop(0).types() else "failed"


@pytest.fixture(scope="module", params=[PlatformClient, PostgresClient])
def front(request):
    loop = Loop()
    engines = [request.param.engine(loop), request.param.engine(loop)]
    program = Program(
        {"known": endpoint_list(*[e.port for e in engines]), "settings": copy.deepcopy(SETTINGS) | RULES}
        | request.param.config
    )
    try:
        yield program, engines, request.param
    finally:
        program.stop()
        for engine in engines:
            engine.close()
        loop.stop()


def gap_ms(engines):
    """ms from the end of the first attempt to the start of the second."""
    started_at = sorted(when for engine in engines for _, when in engine.started)
    ended_at = min(when for engine in engines for _, when in engine.ended)
    return (started_at[1] - ended_at) * 1000


def run(front, how, concurrent):
    """Send two requests with one key, cut off the first; return the answers and the ms between the attempts.

    Args:
        front: the fixture.
        how: how the connection of the first attempt ends.
        concurrent: send the second request before the first is answered.
    """
    program, engines, client_type = front
    for engine in engines:
        engine.started.clear()
        engine.ended.clear()
    client, answers = client_type(program.port), []
    client.send("cut " + how)
    if not concurrent:
        answers.append(client.answer())
    client.send("rows 1")
    while len(answers) < 2:
        answers.append(client.answer())
    wait_for(lambda: sum(len(engine.started) for engine in engines) == 2, "both attempts")
    assert not program.logged("Traceback")
    return answers, gap_ms(engines)


@pytest.mark.parametrize("concurrent", [True, False], ids=["concurrent", "after-answer"])
@pytest.mark.parametrize("how", ["reset", "close", "silence"])
def test_a_key_is_held_down_when_the_connection_ends_right_after_an_answer(front, how, concurrent):
    answers, between_ms = run(front, how, concurrent)
    assert answers == ["served", "served"]
    assert between_ms >= HOLD_DOWN_MS


@pytest.mark.parametrize("concurrent", [True, False], ids=["concurrent", "after-answer"])
def test_an_answer_without_its_last_byte_fails_and_its_key_is_held_down(front, concurrent):
    answers, between_ms = run(front, "short", concurrent)
    assert answers == ["failed", "served"]
    assert between_ms >= HOLD_DOWN_MS


@pytest.mark.parametrize("front", ["platform", "postgres"])
def test_connections_cut_at_random_bytes_of_answers_break_no_rule(front):
    """Before the fix of incident 1 this seed violated the ordering on both fronts."""

    async def play():
        return [result async for result in play_cuts(front, seed=2, rounds=8 if front == "platform" else 20)]

    results = asyncio.run(play())
    assert [(result.fault, result.violations) for result in results if result.violations] == []
    assert any(result.fault_injected for result in results)
