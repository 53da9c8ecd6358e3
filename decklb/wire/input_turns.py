"""Handles the input of client connections in turns, so that none keeps the others waiting.

Input is handled at once within the budget of a pass of the reactor. What is beyond it waits: its connection is not read
any further. In the next passes the connections that wait get turns of one message each, in the order of
`decklb.core.fair_turns`. The parts of large messages have a budget of their own, in which those that began first are
read first: read in equal shares, all of them would be complete late. Owned by a listener.
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any, Protocol

from decklb.core.fair_turns import FairTurns, Turn
from decklb.core.ports import Clock

# ms of a pass in which messages are handled. What they cause at the policy and at engines takes longer.
PASS_BUDGET_MS = 1.5
# Parts of large messages, of up to 64 KB each, that are received in a pass.
PARTS_PER_PASS = 12
# ms after which a new pass is assumed while no connection waits.
PASS_LENGTH_MS = 6.0
# ms after which it is tried again whether large messages may be received.
RECEIVE_RETRY_MS = 1.0
# Cost of a turn in the order of turns: of a message, and of each 4 KB of it.
MESSAGE_COST = 1.0
BYTES_OF_MESSAGE_COST = 4096
# Smallest time of a message in ms, for clocks that do not resolve it.
MIN_COST_MS = 0.01


class InputConnection(Protocol):
    """A connection with received input."""

    turn: Turn[Any]
    handled_bytes: int  # size of the message that was handled last

    @property
    def is_receiving_large(self) -> bool:
        """Whether it is in the middle of a large message."""

    def handle_next(self) -> bool:
        """Handle one message; returns whether there may be another."""

    def input_handled(self, waiting: bool) -> None:
        """The turn is over; `waiting`: another will follow, and until then the connection is not read."""


class InputTurns:
    """The turns of the connections of one listener.

    Attributes:
        cut_short: Number of times that a connection had to wait for another turn.
        longest_pass_ms: Longest time for which turns were handled without a break.
    """

    def __init__(self, clock: Clock, may_receive_large: Callable[[], bool] = lambda: True) -> None:
        """While `may_receive_large` returns false, large messages wait."""
        self._clock, self._may_receive_large = clock, may_receive_large
        self._turns: FairTurns[InputConnection] = FairTurns()
        # Connections in the middle of large messages that wait to be read, by the number of the message.
        self._receiving: list[tuple[int, Turn[InputConnection]]] = []
        self._message_count = 0  # large messages so far
        self._pass_began_ms = clock.now()
        self._spent_ms = 0.0  # of the budget of this pass
        self._parts = 0  # received in this pass
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
        if connection.turn.message_number and connection.is_receiving_large:
            self._part_received(connection)
            return
        if self._spent_ms >= PASS_BUDGET_MS:
            self._turns.add_sparse(connection.turn)
            self._pause(connection)
            return
        self._turns.begin(connection.turn)
        more = True
        while more and self._spent_ms < PASS_BUDGET_MS:
            more, now = self._handle_next(connection, now)
        self._end_turn(connection, more)

    def _begin_pass(self, now: float) -> None:
        self.longest_pass_ms = max(self.longest_pass_ms, self._spent_ms)
        self._pass_began_ms, self._spent_ms, self._parts = now, 0.0, 0

    def _handle_next(self, connection: InputConnection, began_ms: float) -> tuple[bool, float]:
        """Handle one message; returns whether there may be another, and the time in ms."""
        more = connection.handle_next()
        now = self._clock.now()
        self._spent_ms += max(MIN_COST_MS, now - began_ms)
        # By size: a measured cost would make a connection pay for a stall of the process in its turn.
        self._turns.end(connection.turn, MESSAGE_COST + connection.handled_bytes / BYTES_OF_MESSAGE_COST)
        connection.turn.start = connection.turn.finish
        return more, now

    def _end_turn(self, connection: InputConnection, more: bool) -> None:
        if more:
            self._wait(connection)
        elif connection.is_receiving_large:
            self._part_received(connection)
        else:
            connection.turn.message_number = 0
            connection.input_handled(waiting=False)

    def _part_received(self, connection: InputConnection) -> None:
        """A part of a large message was received: read on, or when it is its turn."""
        turn = connection.turn
        if not turn.message_number:
            self._message_count += 1
            turn.message_number = self._message_count
        self._parts += 1
        if self._parts <= PARTS_PER_PASS and self._may_receive_large():
            connection.input_handled(waiting=False)
            return
        turn.waiting = True
        heappush(self._receiving, (turn.message_number, turn))
        self._pause(connection)

    def _wait(self, connection: InputConnection) -> None:
        self._turns.add(connection.turn)
        self._pause(connection)

    def _pause(self, connection: InputConnection) -> None:
        self.cut_short += 1
        connection.input_handled(waiting=True)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._clock.call_later(
                0.0 if self._turns or self._may_receive_large() else RECEIVE_RETRY_MS, self._run_pass
            )

    def _run_pass(self) -> None:
        """Give turns to the connections that wait, until the budget is spent."""
        now = self._clock.now()
        self._begin_pass(now)
        while self._turns and self._spent_ms < PASS_BUDGET_MS:
            turn = self._turns.next()
            more, now = self._handle_next(turn.owner, now)
            self._end_turn(turn.owner, more)
        parts = PARTS_PER_PASS if self._may_receive_large() else 0
        for _ in range(min(parts, len(self._receiving))):
            _, turn = heappop(self._receiving)
            turn.waiting = False
            turn.owner.input_handled(waiting=False)
        self._scheduled = False
        if self._turns or self._receiving:
            self._schedule()
