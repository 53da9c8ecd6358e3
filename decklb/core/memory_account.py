"""The account of the bytes that peers make the process hold, and the limits that are decided from their sum. No I/O.

Every connection has a `Holder` and reports what it holds, by kind. The account owns the sum; fronts ask it whether a
message may be kept. Large messages may use a part of the limit only, so that small ones are accepted beside them.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from enum import IntEnum


class HeldKind(IntEnum):
    """What the bytes are."""

    PARTIAL_MESSAGE = 0  # received bytes that are not handled yet
    REQUEST = 1  # statements and records of requests, until no attempt of theirs is open
    PREPARED = 2  # prepared statements, portals and their rows
    UNSENT_ANSWER = 3  # written to a client that has not received it
    ENGINE = 4  # written to an engine that has not received it, and received from it in part


KIND_COUNT = len(HeldKind)
ROUGH_BYTES = 2048  # growth that need not be reported
UNLIMITED_BYTES = 1 << 60  # limit of an account that only counts
SMALL_MESSAGE_BYTES = 8192  # up to this size a message counts as small
LARGE_MESSAGE_SHARE = 0.75  # of the limit, which large messages may use
# Bytes of large requests in flight above which no further large message is received: they take the connections to
# engines, and small requests would wait behind them.
LARGE_IN_FLIGHT_BYTES = 4 << 20
REQUEST_OVERHEAD_BYTES = 4096  # records of an open request beside its message
MARKS = (0.5, 0.75, 0.9, 1.0)  # shares of the limit; passing one is reported


class Holder:
    """What one connection holds, and the most that it held."""

    __slots__ = ("name", "account", "amounts", "total", "peak")

    def __init__(self, account: MemoryAccount, name: str) -> None:
        """`name` says in the log which connection this is."""
        self.name, self.account = name, account
        self.amounts = [0] * KIND_COUNT
        self.total = self.peak = 0

    def set(self, kind: HeldKind, amount: int) -> None:
        """Set what is held of one kind, in bytes."""
        self.change(kind, amount - self.amounts[kind])

    def set_roughly(self, kind: HeldKind, amount: int) -> None:
        """Set what is held of one kind, in bytes, unless it has grown by little only."""
        if not 0 <= amount - self.amounts[kind] < ROUGH_BYTES:
            self.change(kind, amount - self.amounts[kind])

    def change(self, kind: HeldKind, difference: int) -> None:
        """Add to what is held of one kind, or subtract from it, in bytes.

        Raises:
            ValueError: Less than nothing would be held.
        """
        if not difference:
            return
        if self.amounts[kind] + difference < 0:
            raise ValueError(f"{self.name} would hold less than nothing of {kind.name}")
        self.amounts[kind] += difference
        self.total += difference
        if self.total > self.peak:
            self.peak = self.total
        self.account.changed(self, kind, difference)

    def charge_request(self, message_bytes: int) -> RequestCharge:
        """Charge a request of this size until it is released."""
        return RequestCharge(self, message_bytes + REQUEST_OVERHEAD_BYTES)


class RequestCharge:
    """The charge of one request. It outlives its connection if an attempt does."""

    __slots__ = ("_holder", "_amount")

    def __init__(self, holder: Holder, amount: int) -> None:
        self._holder, self._amount = holder, amount
        self._change(amount)

    def release(self) -> None:
        """End the charge; further calls have no effect."""
        amount, self._amount = self._amount, 0
        self._change(-amount)

    def _change(self, difference: int) -> None:
        self._holder.change(HeldKind.REQUEST, difference)
        if abs(difference) > SMALL_MESSAGE_BYTES + REQUEST_OVERHEAD_BYTES:
            self._holder.account.large_in_flight += difference


class MemoryAccount:
    """The sum of what all connections hold.

    Attributes:
        limit_bytes: What they may hold together.
        total: What they hold, in bytes.
        by_kind: The same, by `HeldKind`.
        peak: Highest total so far.
        large_in_flight: Bytes of large requests that are charged.
        on_mark: Called each time that the total passes one of MARKS upwards, with its share of the limit.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.large_limit_bytes = int(limit_bytes * LARGE_MESSAGE_SHARE)
        self.total = self.peak = self.large_in_flight = 0
        self.by_kind = [0] * KIND_COUNT
        self.on_mark: Callable[[float], None] = lambda share: None
        self._holders: set[Holder] = set()  # those that hold anything
        self._marks_passed = 0  # number of MARKS that the total has reached
        self._mark_bytes = 0.0  # the mark below the total, and the one above it
        self._next_mark_bytes = limit_bytes * MARKS[0]

    def holder(self, name: str) -> Holder:
        """Return the holder of a new connection."""
        return Holder(self, name)

    def admits(self, message_bytes: int, more_bytes: int = 0) -> bool:
        """Whether a message of this size may be kept, if `more_bytes` are held for it beyond what is reported."""
        limit = self.limit_bytes if message_bytes <= SMALL_MESSAGE_BYTES else self.large_limit_bytes
        return self.total + more_bytes <= limit

    @property
    def under_pressure(self) -> bool:
        """Whether large messages are not admitted."""
        return self.total > self.large_limit_bytes

    def may_receive_large(self) -> bool:
        """Whether another part of a large message should be received now."""
        return self.large_in_flight < LARGE_IN_FLIGHT_BYTES

    def largest(self, count: int) -> list[Holder]:
        """Return the holders of most, largest first."""
        return sorted(self._holders, key=lambda holder: -holder.total)[:count]

    def changed(self, holder: Holder, kind: HeldKind, difference: int) -> None:
        """Called by a holder whose amounts have changed."""
        self.total += difference
        self.by_kind[kind] += difference
        if difference > 0:
            self._holders.add(holder)
            if self.total > self.peak:
                self.peak = self.total
        elif not holder.total:
            self._holders.discard(holder)
        if not self._mark_bytes <= self.total < self._next_mark_bytes:
            self._update_marks()

    def _update_marks(self) -> None:
        """Report the marks that were passed upwards, and find those on both sides of the total."""
        passed = sum(self.total >= self.limit_bytes * mark for mark in MARKS)
        reported, self._marks_passed = MARKS[self._marks_passed : passed], passed
        self._mark_bytes = self.limit_bytes * MARKS[passed - 1] if passed else 0.0
        self._next_mark_bytes = self.limit_bytes * MARKS[passed] if passed < len(MARKS) else math.inf
        for mark in reported:
            self.on_mark(mark)
