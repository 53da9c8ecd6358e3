"""Values with units, as operators write them. The same texts pass the schema's patterns."""

from __future__ import annotations

import re

DURATIONS = {"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0}
SIZES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}
_NUMBER = re.compile(r"(\d{1,12}(?:\.\d{1,6})?)([A-Za-z%]+)")


def _split(text: str, units: dict[str, float] | dict[str, int], what: str) -> float:
    m = _NUMBER.fullmatch(text.strip())
    if m is None or m[2] not in units:
        raise ValueError(f"{text!r} is no {what}; a number and one of {', '.join(units)} would be")
    return float(m[1]) * units[m[2]]


def duration(text: str) -> float:
    """Milliseconds of `250ms`, `2s`, `1.5min` or `1h`. Raises ValueError."""
    return _split(text, DURATIONS, "duration")


def size(text: str) -> int:
    """Bytes of `512B`, `64KiB`, `64MiB` or `1GiB`. Raises ValueError."""
    return int(_split(text, SIZES, "size"))


def share(text: str) -> float:
    """0.1 for `10%`. Raises ValueError."""
    return _split(text, {"%": 1}, "share") / 100


def written(ms: float) -> str:
    """A duration in its largest unit that leaves a short number."""
    unit = next((u for u in ("h", "min", "s") if ms >= DURATIONS[u] and ms % (DURATIONS[u] / 10) == 0), "ms")
    return f"{ms / DURATIONS[unit]:g}{unit}"
