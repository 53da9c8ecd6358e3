"""Ends of attempts that an engine may not share: its connection ends, or falls silent, right behind a whole answer.

Incident 1 (docs/incidents). The program is a process and the sockets are real. Every bound here is a least time
between two things that the engines saw, so that a slow machine changes no verdict.
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
from tests.standins import SETTINGS, Loop, PgEngine, Program, known, wait_for

SETTLE = 400.0  # ms that a key rests after an end in doubt
RULES = {"rules": SETTINGS["rules"] | {"settle_after_doubt": SETTLE}}


def end_connection(writer, how):
    """Right behind what was written: a reset, an orderly close, or nothing that the other side could see."""
    if how in ("reset", "short"):
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
    elif how == "close":
        writer.close()


class CutEngine(RespEngine):
    """'cut HOW' is answered whole ('short': but for its last byte), then its connection ends; it keeps the times."""

    def __init__(self, loop):
        self.began, self.ended = [], []
        super().__init__(loop)

    def _do(self, writer, ident, words):
        self.began.append((ident, time.monotonic()))
        if words[0] == b"cut":
            whole = resp.pack(ident, b"data", b"parts=1", b"a\tb\tc\n")
            writer.write(whole[:-1] if words[1] == b"short" else whole)
            end_connection(writer, words[1].decode())
            self.ended.append((ident, time.monotonic()))
        else:
            super()._do(writer, ident, words)


class CutPgEngine(PgEngine):
    """The same for statements 'cut HOW'."""

    def __init__(self, loop):
        self.began, self.ended = [], []
        super().__init__(loop)

    async def _run(self, sql, row, cancelled, writer, describe):
        self.began.append((sql, time.monotonic()))
        out, failed = await super()._run(sql, row, cancelled, writer, describe)
        if sql.startswith("cut"):
            self.ended.append((sql, time.monotonic()))
        if sql.startswith("cut") and sql != "cut silence":
            whole = out + pg.READY_FOR_QUERY
            writer.write(whole[:-1] if sql == "cut short" else whole)
            end_connection(writer, sql.split()[1])
            raise ConnectionError
        return out, failed


class Platform:
    """The platform's front: requests of one key on one connection."""

    engine = CutEngine
    config: dict = {}

    def __init__(self, port):
        self.client, self.stream = Client(port), 0

    def send(self, statement):
        self.stream += 1
        self.client.send(request(self.stream, statement.encode(), method="load", obj="k"))

    def answer(self):
        return {frames.SERVED: "served", frames.FAILED: "failed"}.get(self.client.next().payload[0])


class Postgres:
    """The PostgreSQL front: one session a statement."""

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


@pytest.fixture(scope="module", params=[Platform, Postgres])
def front(request):
    loop = Loop()
    engines = [request.param.engine(loop), request.param.engine(loop)]
    program = Program(
        {"known": known(*[e.port for e in engines]), "settings": copy.deepcopy(SETTINGS) | RULES} | request.param.config
    )
    try:
        yield program, engines, request.param
    finally:
        program.stop()
        for engine in engines:
            engine.close()
        loop.stop()


def gap(engines):
    """ms from the end of the first attempt to the beginning of the second."""
    began = sorted(when for e in engines for _, when in e.began)
    ended = min(when for e in engines for _, when in e.ended)
    return (began[1] - ended) * 1000


def run(front, how, waits):
    """Two requests of one key, the first cut off so; returns their answers and the ms between the two attempts."""
    program, engines, kind = front
    for engine in engines:
        engine.began.clear()
        engine.ended.clear()
    speaker, answers = kind(program.port), []
    speaker.send("cut " + how)
    if not waits:
        answers.append(speaker.answer())
    speaker.send("rows 1")
    while len(answers) < 2:
        answers.append(speaker.answer())
    wait_for(lambda: sum(len(e.began) for e in engines) == 2, "both attempts")
    assert not program.logged("Traceback")
    return answers, gap(engines)


@pytest.mark.parametrize("waits", [True, False], ids=["next-waits", "next-comes"])
@pytest.mark.parametrize("how", ["reset", "close", "silence"])
def test_a_key_is_held_down_when_its_connection_ends_right_behind_an_answer(front, how, waits):
    answers, between = run(front, how, waits)
    assert answers == ["served", "served"]
    assert between >= SETTLE


@pytest.mark.parametrize("waits", [True, False], ids=["next-waits", "next-comes"])
def test_an_answer_without_its_last_byte_fails_and_its_key_is_held_down(front, waits):
    answers, between = run(front, "short", waits)
    assert answers == ["failed", "served"]
    assert between >= SETTLE


@pytest.mark.parametrize("front", ["platform", "postgres"])
def test_connections_cut_at_random_bytes_of_answers_break_no_rule(front):
    """On the code before incident 1 was mended this seed broke the order on both fronts."""

    async def play():
        return [one async for one in play_cuts(front, seed=2, rounds=8 if front == "platform" else 20)]

    made = asyncio.run(play())
    assert [(one.fault, one.violations) for one in made if one.violations] == []
    assert any(one.fault_injected for one in made)
