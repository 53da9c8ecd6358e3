"""A client of the fault runs that sends one request to random managers until it has a final answer."""

from __future__ import annotations

import asyncio
import random
import struct
import time
from collections.abc import Callable

from decklb.lab.checks.execution_verdict import ClientRecord, FinalAnswer
from decklb.lab.fault_runs.handoff_fleet import LOAD_CLASS, READ_CLASS, Fleet
from decklb.pg import messages as pg

RETRYABLE_SQLSTATES = ("53000", "53300", "57P01", "57P03", "08006")  # SQLSTATEs after which a client retries
ANSWER_GRACE_S = 0.5  # after the deadline, in which an answer still counts


class RetryingClient:
    """A client that sends one request with its idempotency key to random managers until it has a final answer."""

    def __init__(self, fleet: Fleet, rng: random.Random, key: str) -> None:
        self.fleet, self.rng = fleet, rng
        now, setup = time.monotonic(), fleet.setup
        self.record = ClientRecord(
            key, rng.choice((READ_CLASS, LOAD_CLASS)), now, now + setup.longest / 1000 + ANSWER_GRACE_S
        )
        self.sql = f"select 1 -- run={key} work={rng.choice(setup.work)}"
        self.attempt_timeout_s = rng.choice((0.3, 1.0, 5.0))  # on one connection

    async def run(self) -> ClientRecord:
        """Send the request until it has its final answer, and in 30% of cases again: the answer must be the same."""
        record = self.record
        await self._retry_until(lambda: bool(record.final_answers), record.due_s)
        if record.final_answers and self.rng.random() < 0.3:
            answer_count = len(record.final_answers)
            await self._retry_until(
                lambda: len(record.final_answers) > answer_count, min(time.monotonic() + 0.8, record.due_s)
            )
        return record

    async def _retry_until(self, done: Callable[[], bool], end_s: float) -> None:
        while not done() and (left_s := end_s - time.monotonic()) > 0:
            name, start_s = self.rng.choice(self.fleet.names), time.monotonic()
            self.record.last = "answered"
            try:
                await asyncio.wait_for(self._attempt(self.fleet.ports[name]), min(left_s, self.attempt_timeout_s))
            except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
                self.record.unanswered_tries += 1
                self.record.last = type(error).__name__
            self.record.path.append(
                f"{name} at {start_s - self.record.sent_s:.2f} for {time.monotonic() - start_s:.2f}: {self.record.last}"
            )
            if not done():
                await asyncio.sleep(self.rng.uniform(0.05, 0.15))

    async def _attempt(self, port: int) -> None:
        record = self.record
        record.tries += 1
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            budget_ms = max(1, round((record.due_s - ANSWER_GRACE_S - time.monotonic()) * 1000))
            writer.write(
                pg.pack_startup(
                    {
                        "user": "u",
                        "decklb.class": record.class_name,
                        "decklb.budget": str(budget_ms),
                        "decklb.request": record.key,
                    }
                )
                + pg.pack(b"Q", self.sql.encode() + b"\0")
            )
            row, sqlstate, session_ready = "", "", False
            while True:
                message_type = await reader.readexactly(1)
                (size,) = struct.unpack(">I", await reader.readexactly(4))
                body = await reader.readexactly(size - 4)
                if message_type == b"E":
                    sqlstate = pg.read_error(body)["C"]
                elif message_type == b"D":
                    row = body[6:].decode()
                elif message_type == b"Z":
                    if session_ready:
                        break
                    session_ready = True
        finally:
            writer.close()
        if sqlstate in RETRYABLE_SQLSTATES:
            record.last = sqlstate
        else:
            # The SQLSTATE is left out of the comparison: the same failure may be reported as an exceeded deadline or as
            # an uncertain outcome.
            outcome, content = ("failed", "") if sqlstate else ("served", row)
            record.final_answers.append(FinalAnswer(outcome, content, time.monotonic()))
