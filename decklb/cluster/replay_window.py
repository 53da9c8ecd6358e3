"""Drops datagrams that are replayed, or come late: one sliding window for each run of a sender.

RFC 4303 (3.4.3) has a window of this kind. Owned by `node`, which checks each opened datagram against it.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from decklb.cluster.errors import WireError
from decklb.cluster.messages import Envelope

# Datagrams by which one may be overtaken and still be accepted.
WINDOW_SIZE = 1024

# Runs of senders whose windows are kept; beyond that the one not heard for longest is forgotten.
MAX_SENDERS = 4096


@dataclass(frozen=True, slots=True)
class _Window:
    """The highest sequence seen, and a bit for each of those below it: bit n is set if highest - n has been seen."""

    highest: int
    seen: int


class ReplayWindow:
    """The windows of all senders."""

    def __init__(self, max_clock_skew_ms: float) -> None:
        self.max_clock_skew_ms = max_clock_skew_ms
        self._windows: OrderedDict[tuple[str, int], _Window] = OrderedDict()  # by sender and run

    def check(self, envelope: Envelope, wall_clock_ms: float) -> None:
        """Accept a datagram once.

        The sender's clock guards where a window can't: after our own restart nothing has been seen.

        Raises:
            WireError: with the reason `skew` (its clock differs too much) or `replay`.
        """
        skew_ms = envelope.wall_clock_ms - wall_clock_ms
        if abs(skew_ms) > self.max_clock_skew_ms:
            raise WireError("skew", f"{skew_ms:+.0f} ms")
        sender = (envelope.sender, envelope.run_id)
        self._windows[sender] = _accept(self._windows.get(sender), envelope.sequence)
        self._windows.move_to_end(sender)
        if len(self._windows) > MAX_SENDERS:
            self._windows.popitem(last=False)


def _accept(window: _Window | None, sequence: int) -> _Window:
    """The window after this sequence. Raises WireError if it has been seen, or is too old to tell."""
    if window is None:
        return _Window(sequence, 1)
    ahead = sequence - window.highest
    if ahead > 0:
        seen = (window.seen << min(ahead, WINDOW_SIZE) | 1) & ((1 << WINDOW_SIZE) - 1)
        return _Window(sequence, seen)
    if -ahead >= WINDOW_SIZE or window.seen >> -ahead & 1:
        raise WireError("replay")
    return _Window(window.highest, window.seen | 1 << -ahead)
