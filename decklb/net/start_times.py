"""When engines started, on the monotonic clock, from what the directory says in wall-clock time.

The wall clock may be set at any moment, and a start that is placed too early makes a cold engine look warm. What the
list's changes prove does not depend on it: an engine that the last list lacked can't have run for longer than since
that list, and what the directory took to tell of it. No I/O: both clocks are passed in.

State: the starts that were placed, and the offset between the clocks. Owned by `directory_client`.
"""

from __future__ import annotations

from collections.abc import Collection

# After which whatever the directory has to tell counts as told (protocol page, 'Figures').
PROPAGATION_LIMIT_MS = 7000.0
# Between two readings, by which the wall clock may leave the monotonic one before it counts as set.
CLOCK_STEP_MS = 250.0


class StartTimes:
    """The starts of the engines that the list names; each is placed once. All times in ms."""

    def __init__(self) -> None:
        # Monotonic time of the start, by engine and its start in Unix time.
        self._starts: dict[tuple[str, int], float] = {}
        self._offset: float | None = None  # wall minus monotonic clock, before the wall clock was last set
        self._list_at: float | None = None  # when the last list was confirmed

    def list_confirmed(self, now: float, wall: float) -> None:
        """The directory's list is the one known. `now` and `wall`: both clocks, read together."""
        if self._offset is None or abs(wall - now - self._offset) <= CLOCK_STEP_MS:
            self._offset = wall - now  # they drift
        self._list_at = now

    def place(
        self, engines: Collection[tuple[str, int]], now: float, wall: float, is_current: bool
    ) -> dict[str, float]:
        """Place the starts of a new list on the monotonic clock.

        Args:
            engines: id and start of each engine, in Unix ms or 0 for long ago.
            now: the monotonic clock.
            wall: the wall clock, read together with it.
            is_current: the list is what the directory says now, and was not kept from before.

        Returns:
            The start of each engine by its id, 0 where it is long past.
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
        """The later of the starts by the old offset and by the present one; `now` if neither is possible."""
        earliest = -float("inf") if self._list_at is None else self._list_at - PROPAGATION_LIMIT_MS
        by_old_offset = started_at - (offset if self._offset is None else self._offset)
        by_new_offset = started_at - offset
        if abs(by_old_offset - by_new_offset) <= CLOCK_STEP_MS:
            return by_new_offset if earliest <= by_new_offset <= now else now
        if not earliest <= by_old_offset <= now and earliest <= by_new_offset <= now:
            self._offset = offset  # it was wrong before and is right now
            return by_new_offset
        latest = max(by_old_offset, by_new_offset)
        return latest if earliest <= latest <= now else now
