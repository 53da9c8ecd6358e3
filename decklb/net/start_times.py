"""Converts the start times of engines from the directory's wall-clock time to the monotonic clock.

The wall clock may be set at any time, and a converted start time that is too early makes a cold engine look warm. A
bound that does not depend on the wall clock comes from the list itself: an engine that the previous list did not
contain has not been running for longer than the time since that list plus the directory's propagation delay. No I/O:
the caller passes the time on both clocks.

State: the converted start times, and the offset between the clocks. Owned by `directory_client`.
"""

from __future__ import annotations

from collections.abc import Collection

# Upper limit of the directory's propagation delay (protocol page, 'Figures').
PROPAGATION_LIMIT_MS = 7000.0
# Change of the offset between the clocks, from one reading to the next, above which the wall clock counts as set.
CLOCK_STEP_MS = 250.0


class StartTimes:
    """The start times of the listed engines; each is converted once. All times are in ms."""

    def __init__(self) -> None:
        # Start time on the monotonic clock, by engine id and start in Unix time.
        self._starts: dict[tuple[str, int], float] = {}
        self._offset: float | None = None  # wall clock minus monotonic clock, from before the wall clock was last set
        self._list_at: float | None = None  # when the list was last confirmed

    def list_confirmed(self, now: float, wall: float) -> None:
        """The directory has confirmed the known list. `now` and `wall` are the two clocks, read together."""
        if self._offset is None or abs(wall - now - self._offset) <= CLOCK_STEP_MS:
            self._offset = wall - now  # follows the drift between the clocks
        self._list_at = now

    def convert(
        self, engines: Collection[tuple[str, int]], now: float, wall: float, is_current: bool
    ) -> dict[str, float]:
        """Convert the start times of a new list to the monotonic clock.

        Args:
            engines: id and start of each engine, in Unix ms; 0: long ago.
            now: the monotonic clock.
            wall: the wall clock, read together with it.
            is_current: the list is the one that the directory has now, not one kept from before.

        Returns:
            The start of each engine by its id; 0: long ago.
        """
        listed = set(engines)
        starts = {engine: at for engine, at in self._starts.items() if engine in listed}
        for engine in listed:
            started_at = engine[1]
            if started_at and engine not in starts:
                starts[engine] = self._to_monotonic(started_at, now, wall - now)
        self._starts = starts
        if is_current:
            self.list_confirmed(now, wall)
        return {engine[0]: starts.get(engine, 0.0) for engine in listed}

    def _to_monotonic(self, started_at: int, now: float, offset: float) -> float:
        """Return the later of the start times by the old and by the current offset, or `now` if that is not plausible.

        If the wall clock was wrong before and is right now, the start time by the current offset is returned.
        """
        earliest = -float("inf") if self._list_at is None else self._list_at - PROPAGATION_LIMIT_MS
        by_old_offset = started_at - (offset if self._offset is None else self._offset)
        by_current_offset = started_at - offset
        if abs(by_old_offset - by_current_offset) <= CLOCK_STEP_MS:
            return by_current_offset if earliest <= by_current_offset <= now else now
        if not earliest <= by_old_offset <= now and earliest <= by_current_offset <= now:
            self._offset = offset  # the wall clock was wrong before and is right now
            return by_current_offset
        latest = max(by_old_offset, by_current_offset)
        return latest if earliest <= latest <= now else now
