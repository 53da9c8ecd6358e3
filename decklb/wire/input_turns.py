"""Handles the input of client connections in turns, so that none keeps the others waiting.

Input is handled at once within the budget of a pass of the reactor. What is beyond it waits: its connection is not read
any further, and the connections that wait get turns of one message each, in the order of `decklb.core.fair_turns`, in
the next passes. Owned by a listener.
"""

from __future__ import annotations

from typing import Any, Protocol

from decklb.core.fair_turns import FairTurns, Turn
from decklb.core.ports import Clock

# ms of a pass that input is handled. What a message causes at the policy and at engines takes about as long again.
PASS_BUDGET_MS = 1.5
# ms after which a new pass is assumed while no connection waits.
PASS_LENGTH_MS = 6.0
# Cost in ms of receiving a part of a large message, which is not measured.
PART_COST_MS = 0.15
# Smallest cost of a message in ms, for clocks that do not resolve it.
MIN_COST_MS = 0.01


class InputConnection(Protocol):
    """A connection with received input."""

    turn: Turn[Any]

    @property
    def is_receiving_large(self) -> bool:
        """Whether it is in the middle of a large message."""

    def handle_next(self) -> bool:
        """Handle one message; returns whether there may be another."""

    def input_handled(self, waiting: bool) -> None:
        """The turn is over; `waiting`: there is more input, and another turn will follow."""


class InputTurns:
    """The turns of the connections of one listener.

    Attributes:
        cut_short: Number of times that a connection had to wait for another turn.
        longest_pass_ms: Longest time for which turns were handled without a break.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._turns: FairTurns[InputConnection] = FairTurns()
        self._pass_began_ms = clock.now()
        self._spent_ms = 0.0  # of the budget of this pass
        self._scheduled = False
        self.cut_short = 0
        self.longest_pass_ms = 0.0

    def received(self, connection: InputConnection) -> None:
        """A connection has input: handle it now, or when it is its turn."""
        if connection.turn.waiting:
            return
        now = self._clock.now()
        if not self._scheduled and now - self._pass_began_ms >= PASS_LENGTH_MS:
            self._begin_pass(now)
        if self._spent_ms >= PASS_BUDGET_MS:
            self._wait(connection)
            return
        self._turns.begin(connection.turn)
        more = True
        while more and self._spent_ms < PASS_BUDGET_MS:
            more, now = self._handle_next(connection, now)
        self._end_turn(connection, more)

    def _begin_pass(self, now: float) -> None:
        self.longest_pass_ms = max(self.longest_pass_ms, self._spent_ms)
        self._pass_began_ms, self._spent_ms = now, 0.0

    def _handle_next(self, connection: InputConnection, began_ms: float) -> tuple[bool, float]:
        """Handle one message; returns whether there may be another, and the time in ms."""
        more = connection.handle_next()
        now = self._clock.now()
        cost = max(MIN_COST_MS, now - began_ms)
        if not more and connection.is_receiving_large:
            cost += PART_COST_MS
        self._spent_ms += cost
        self._turns.end(connection.turn, cost)
        connection.turn.start = connection.turn.finish
        return more, now

    def _end_turn(self, connection: InputConnection, more: bool) -> None:
        if more:
            self._wait(connection)
        else:
            connection.input_handled(waiting=False)

    def _wait(self, connection: InputConnection) -> None:
        self.cut_short += 1
        self._turns.add(connection.turn)
        connection.input_handled(waiting=True)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._clock.call_later(0.0, self._run_pass)

    def _run_pass(self) -> None:
        """Give turns to the connections that wait, until the budget is spent."""
        now = self._clock.now()
        self._begin_pass(now)
        while self._turns and self._spent_ms < PASS_BUDGET_MS:
            turn = self._turns.next()
            more, now = self._handle_next(turn.owner, now)
            if more:
                self._turns.add(turn)
            else:
                turn.owner.input_handled(waiting=False)
        self._scheduled = False
        if self._turns:
            self._schedule()
