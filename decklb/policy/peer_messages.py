"""The wire form of messages between gateways: little-endian floats, then three bytes for each engine."""

from __future__ import annotations

import struct
from dataclasses import dataclass

MAX_BYTES = 256  # of a message
FLOAT_BYTES = 4
ENGINE_BYTES = 3  # tag (2) and slowdown (1)
SLOWDOWN_STEPS = 16  # steps of the byte that hold a slowdown of 1
MAX_VALUE = 1e9  # above it, or below 0, a float is no figure of ours


@dataclass(slots=True)
class PeerMessage:
    """What a gateway tells its peers of itself."""

    arrival_rates: list[float]  # requests a second, for each listed tenant
    slowdown: float  # times the usual that answers took of late
    memory_ratios: list[float]  # for each class the last memory need over estimated, 0 for none
    engine_slowdowns: list[tuple[int, float]]  # (engine's tag, times the usual)

    def pack(self) -> bytes:
        """Encode; of the engines as many as fit a message."""
        head = [*self.arrival_rates, self.slowdown, *self.memory_ratios]
        engines = self.engine_slowdowns[: (MAX_BYTES - FLOAT_BYTES * len(head)) // ENGINE_BYTES]
        flat = [v for tag, slow in engines for v in (tag, min(255, max(0, int(SLOWDOWN_STEPS * slow))))]
        return struct.pack(f"<{len(head)}f" + "HB" * len(engines), *head, *flat)

    @classmethod
    def read(cls, data: bytes, tenants: int, classes: int) -> PeerMessage | None:
        """Decode; None if it is no such message of a gateway with these numbers of tenants and classes."""
        floats = tenants + 1 + classes
        if len(data) < FLOAT_BYTES * floats or (len(data) - FLOAT_BYTES * floats) % ENGINE_BYTES:
            return None
        head = list(struct.unpack_from(f"<{floats}f", data))
        if not all(0 <= value < MAX_VALUE for value in head):
            return None
        engines = [
            (tag, slow / SLOWDOWN_STEPS)
            for tag, slow in struct.iter_unpack("<HB", data[FLOAT_BYTES * floats :])
        ]
        return cls(head[:tenants], head[tenants], head[tenants + 1 :], engines)
