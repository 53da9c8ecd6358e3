"""Rejects datagrams that are replayed or too late, by a sliding window for each run of a sender.

The window is that of RFC 4303, section 3.4.3. Owned by `node`, which checks each opened datagram against it.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from decklb.cluster.errors import WireError
from decklb.cluster.messages import Envelope

# A datagram is rejected if its sequence number is this much or more below the highest one received.
WINDOW_SIZE = 1024

# Maximum number of windows, one for each run of a sender; above it the least recently used one is dropped.
MAX_SENDERS = 4096


@dataclass(frozen=True, slots=True)
class _Window:
    """The highest sequence number received, and a bit mask: bit n is set if number highest - n has been received."""

    highest: int
    seen: int


class ReplayWindow:
    """The windows of all senders."""

    def __init__(self, max_clock_skew_ms: float) -> None:
        self.max_clock_skew_ms = max_clock_skew_ms
        self._windows: OrderedDict[tuple[str, int], _Window] = OrderedDict()  # by sender and run

    def check(self, envelope: Envelope, wall_clock_ms: float) -> None:
        """Accept each datagram once.

        The check of the sender's clock rejects old datagrams even after a restart of this instance, when the windows
        are empty.

        Raises:
            WireError: with the reason `skew` (the sender's clock differs too much) or `replay`.
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
    """Return the window after this sequence number. Raises WireError if it is a repetition or below the window."""
    if window is None:
        return _Window(sequence, 1)
    ahead = sequence - window.highest
    if ahead > 0:
        seen = (window.seen << min(ahead, WINDOW_SIZE) | 1) & ((1 << WINDOW_SIZE) - 1)
        return _Window(sequence, seen)
    if -ahead >= WINDOW_SIZE or window.seen >> -ahead & 1:
        raise WireError("replay")
    return _Window(window.highest, window.seen | 1 << -ahead)
