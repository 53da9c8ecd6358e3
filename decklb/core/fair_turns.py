"""Whose turn it is among connections that all have input: start-time fair queueing. No I/O and no clock.

Each connection has a `Turn`. A turn has a cost; the connection's next turn begins where that cost ends in virtual time,
which is the start of the turn that is used now. So each connection gets an equal share of the time, and one that has
used little comes before those that have used much. A connection that had nothing to handle until now gets one turn
before those that always have.

Sources: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing" (SIGCOMM 1996); RFC 8290, section 4.2, for the
precedence of sparse flows.
"""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from typing import Generic, TypeVar

OwnerT = TypeVar("OwnerT")

MAX_SPARSE_IN_A_ROW = 4  # turns of connections that had no input before, after which another gets one


class Turn(Generic[OwnerT]):
    """The turns of one connection."""

    __slots__ = ("owner", "waiting", "start", "finish", "message_number")

    def __init__(self, owner: OwnerT) -> None:
        self.owner = owner
        self.waiting = False  # in the queue
        self.start = self.finish = 0.0  # of the current turn, in virtual time
        self.message_number = 0  # of the large message that is being received; 0: none


class FairTurns(Generic[OwnerT]):
    """The queue of the connections that wait for a turn."""

    def __init__(self) -> None:
        self._virtual_time = 0.0
        # (start, finish of the last turn, sequence number, turn): of equal starts, who has used least comes first.
        self._waiting: list[tuple[float, float, int, Turn[OwnerT]]] = []
        self._sequence = 0
        self._sparse: deque[Turn[OwnerT]] = deque()  # of connections that had no input before, in order of arrival
        self._sparse_in_a_row = 0

    def __bool__(self) -> bool:
        return bool(self._waiting or self._sparse)

    def begin(self, turn: Turn[OwnerT]) -> None:
        """Begin a turn at once, without waiting; `end` follows."""
        turn.start = max(self._virtual_time, turn.finish)

    def add(self, turn: Turn[OwnerT]) -> None:
        """Queue a connection, if it does not wait already."""
        if turn.waiting:
            return
        self.begin(turn)
        turn.waiting = True
        self._sequence += 1
        heappush(self._waiting, (turn.start, turn.finish, self._sequence, turn))

    def add_sparse(self, turn: Turn[OwnerT]) -> None:
        """Queue a connection that had no input until now: it comes before those that have kept the queue busy."""
        if not turn.waiting:
            self.begin(turn)
            turn.waiting = True
            self._sparse.append(turn)

    def next(self) -> Turn[OwnerT]:
        """Begin the next turn; `end` follows. The queue must not be empty."""
        if self._sparse and (self._sparse_in_a_row < MAX_SPARSE_IN_A_ROW or not self._waiting):
            self._sparse_in_a_row += 1
            turn = self._sparse.popleft()
            turn.waiting = False
            return turn
        self._sparse_in_a_row = 0
        start, _, _, turn = heappop(self._waiting)
        self._virtual_time = max(self._virtual_time, start)
        turn.waiting = False
        return turn

    def end(self, turn: Turn[OwnerT], cost: float) -> None:
        """End a turn that has cost this much, in any unit that all turns share."""
        turn.finish = turn.start + cost
