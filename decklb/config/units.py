"""Values with units, as operators write them: durations, sizes and shares. The schema accepts the same texts."""

from __future__ import annotations

import re

MS_BY_UNIT = {"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0}
BYTES_BY_UNIT = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_NUMBER_AND_UNIT = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([A-Za-z%]+)")


def _in_smallest_unit(text: str, units: dict[str, float] | dict[str, int], kind: str) -> float:
    match = _NUMBER_AND_UNIT.fullmatch(text.strip())
    if match is None or match[2] not in units:
        raise ValueError(f"{text!r} is no {kind}; a number and one of {', '.join(units)} would be")
    return float(match[1]) * units[match[2]]


def duration(text: str) -> float:
    """Milliseconds of `250ms`, `2s`, `1.5min` or `1h`. Raises ValueError."""
    return _in_smallest_unit(text, MS_BY_UNIT, "duration")


def size(text: str) -> int:
    """Bytes of `512B`, `64KiB`, `64MiB` or `1GiB`. Raises ValueError."""
    return int(_in_smallest_unit(text, BYTES_BY_UNIT, "size"))


def share(text: str) -> float:
    """0.1 for `10%`. Raises ValueError."""
    return _in_smallest_unit(text, {"%": 1}, "share") / 100


def written(ms: float) -> str:
    """A duration in its largest unit that leaves a short number."""
    unit = next((u for u in ("h", "min", "s") if ms >= MS_BY_UNIT[u] and ms % (MS_BY_UNIT[u] / 10) == 0), "ms")
    return f"{ms / MS_BY_UNIT[unit]:g}{unit}"
