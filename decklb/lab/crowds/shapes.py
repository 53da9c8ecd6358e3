"""The kinds of crowds: how many clients, what each sends, and how the crowds of a soak are drawn from a seed. No I/O.

`PICTURES` are the crowds whose figures `decklb lab crowds` tabulates. The client process plays a crowd, the run starts
that process.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

MAX_FRAME_BYTES = 262_144
MAX_PG_MESSAGE_BYTES = 1 << 20
MAX_STREAMS = 32  # requests that a client of the platform may have open on one connection
MAX_PLATFORM_CLIENTS = 504  # with 1,024 descriptors
MAX_PG_CLIENTS = 250


class CrowdKind(StrEnum):
    """What each client of a crowd does, again and again."""

    WHOLE_AND_PARTIAL = "whole-and-partial"  # sends a whole request, and another one but for its last byte
    WHOLE = "whole"  # sends a whole request and waits for the answer
    PIPELINED = "pipelined"  # sends several whole requests at once and waits for the answers
    PARTIAL = "partial"  # sends a request but for its last byte, and waits
    TRICKLED = "trickled"  # sends a request in pieces of 1 KB
    SHORT_FIELDS = "short-fields"  # sends several requests with as many short fields as fit
    LEAVING = "leaving"  # sends several requests and closes the connection after a moment
    RESETTING = "resetting"  # sends several requests and resets the connection after a moment
    UNREAD = "unread"  # sends requests and reads no answer
    CANCELS = "cancels"  # cancels streams that it never used, at full speed
    READINESS = "readiness"  # asks whether the manager is ready, at full speed
    NEW_NAMES = "new-names"  # sends requests with ever new keys, tokens and table groups, at full speed
    UNKNOWN_TYPES = "unknown-types"  # sends frames of an unknown type, at full speed
    PG_PARTIAL = "pg-partial"  # PostgreSQL: sends a query but for its last byte, and waits
    PG_WHOLE = "pg-whole"  # PostgreSQL: sends a large query and waits for its end
    PG_PREPARED = "pg-prepared"  # PostgreSQL: prepares ever more large statements
    PG_SYNCS = "pg-syncs"  # PostgreSQL: sends Sync at full speed


POSTGRES_KINDS = (CrowdKind.PG_PARTIAL, CrowdKind.PG_WHOLE, CrowdKind.PG_PREPARED, CrowdKind.PG_SYNCS)


@dataclass(frozen=True, slots=True)
class Crowd:
    """A crowd of equal clients.

    Attributes:
        kind: What each client does.
        clients: Number of clients.
        request_bytes: Size of a request in bytes, with its header.
        requests: Number of requests that a client sends at once, for the kinds that send several.
        leave_after_ms: For the kinds that leave: upper bound of the time after which a client leaves.
        starts_after_s: Time from the start of the run to that of the crowd.
    """

    kind: CrowdKind
    clients: int
    request_bytes: int = MAX_FRAME_BYTES
    requests: int = MAX_STREAMS
    leave_after_ms: float = 20.0
    starts_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Picture:
    """One row of the table: a mix of crowds at one front."""

    name: str
    front: str  # `platform` or `postgres`
    crowds: tuple[Crowd, ...]


def _picture(name: str, *crowds: Crowd, front: str = "platform") -> Picture:
    return Picture(name, front, crowds)


PICTURES = (
    _picture("none"),
    _picture("340 whole and partial", Crowd(CrowdKind.WHOLE_AND_PARTIAL, 340)),
    _picture("504 whole and partial", Crowd(CrowdKind.WHOLE_AND_PARTIAL, 504)),
    _picture("60 leaving", Crowd(CrowdKind.LEAVING, 60)),
    _picture("504 whole", Crowd(CrowdKind.WHOLE, 504)),
    _picture("340 pipelined", Crowd(CrowdKind.PIPELINED, 340)),
    _picture("504 partial", Crowd(CrowdKind.PARTIAL, 504)),
    _picture("340 trickled", Crowd(CrowdKind.TRICKLED, 340)),
    _picture("340 short fields", Crowd(CrowdKind.SHORT_FIELDS, 340)),
    _picture("340 unread", Crowd(CrowdKind.UNREAD, 340, request_bytes=300)),
    _picture("1 cancels", Crowd(CrowdKind.CANCELS, 1)),
    _picture("8 cancels", Crowd(CrowdKind.CANCELS, 8)),
    _picture("50 cancels", Crowd(CrowdKind.CANCELS, 50)),
    _picture("1 readiness", Crowd(CrowdKind.READINESS, 1)),
    _picture("8 readiness", Crowd(CrowdKind.READINESS, 8)),
    _picture("50 readiness", Crowd(CrowdKind.READINESS, 50)),
    _picture("1 new names", Crowd(CrowdKind.NEW_NAMES, 1)),
    _picture("8 new names", Crowd(CrowdKind.NEW_NAMES, 8)),
    _picture("50 new names", Crowd(CrowdKind.NEW_NAMES, 50)),
    _picture("1 unknown types", Crowd(CrowdKind.UNKNOWN_TYPES, 1)),
    _picture("50 unknown types", Crowd(CrowdKind.UNKNOWN_TYPES, 50)),
    _picture("20 resetting", Crowd(CrowdKind.RESETTING, 20, request_bytes=200_000)),
    _picture(
        "three crowds",
        Crowd(CrowdKind.WHOLE_AND_PARTIAL, 150),
        Crowd(CrowdKind.WHOLE, 150),
        Crowd(CrowdKind.TRICKLED, 150),
    ),
    _picture("pg none", front="postgres"),
    _picture("pg 200 partial", Crowd(CrowdKind.PG_PARTIAL, 200, MAX_PG_MESSAGE_BYTES), front="postgres"),
    _picture("pg 200 whole", Crowd(CrowdKind.PG_WHOLE, 200, MAX_PG_MESSAGE_BYTES), front="postgres"),
    _picture("pg 200 prepared", Crowd(CrowdKind.PG_PREPARED, 200, MAX_PG_MESSAGE_BYTES), front="postgres"),
    _picture("pg 8 syncs", Crowd(CrowdKind.PG_SYNCS, 8), front="postgres"),
)

PLATFORM_KINDS = tuple(kind for kind in CrowdKind if kind not in POSTGRES_KINDS)
FLOOD_KINDS = (CrowdKind.CANCELS, CrowdKind.READINESS, CrowdKind.NEW_NAMES, CrowdKind.UNKNOWN_TYPES, CrowdKind.PG_SYNCS)
LARGEST_FLOOD = 50  # clients
REQUEST_SIZES = (300, 4000, 20_000, 70_000, 200_000, MAX_FRAME_BYTES)


def draw_crowds(rng: random.Random, front: str, seconds: float) -> tuple[Crowd, ...]:
    """Draw one to three crowds for a run of this length."""
    kinds = PLATFORM_KINDS if front == "platform" else POSTGRES_KINDS
    limit = MAX_PLATFORM_CLIENTS if front == "platform" else MAX_PG_CLIENTS
    count = rng.randint(1, 3)
    return tuple(_draw_crowd(rng, rng.choice(kinds), limit // count, seconds) for _ in range(count))


def _draw_crowd(rng: random.Random, kind: CrowdKind, max_clients: int, seconds: float) -> Crowd:
    return Crowd(
        kind,
        clients=rng.randint(1, min(max_clients, LARGEST_FLOOD) if kind in FLOOD_KINDS else max_clients),
        request_bytes=MAX_PG_MESSAGE_BYTES if kind in POSTGRES_KINDS else rng.choice(REQUEST_SIZES),
        requests=rng.choice((2, 8, MAX_STREAMS)),
        leave_after_ms=rng.choice((0.0, 5.0, 20.0, 100.0)),
        starts_after_s=rng.uniform(0.0, seconds / 2),
    )
