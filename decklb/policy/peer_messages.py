"""Encoding of messages between gateways: little-endian floats, followed by three bytes for each engine."""

from __future__ import annotations

import struct
from dataclasses import dataclass

MAX_BYTES = 256  # maximum size of a message
FLOAT_BYTES = 4
ENGINE_BYTES = 3  # identifier (2) and slowdown (1)
SLOWDOWN_SCALE = 16  # a slowdown of 1 is encoded as this value of its byte
MAX_VALUE = 1e9  # upper bound of valid floats; the lower bound is 0


@dataclass(slots=True)
class PeerMessage:
    """Data that a gateway sends to its peers about itself."""

    arrival_rates: list[float]  # requests per second of each listed tenant
    slowdown: float  # mean slowdown of recent answers
    memory_ratios: list[float]  # last memory ratio of each class; 0: none
    engine_slowdowns: list[tuple[int, float]]  # (16-bit identifier of the engine, slowdown)

    def pack(self) -> bytes:
        """Encode the message, with as many engines as fit into it."""
        head = [*self.arrival_rates, self.slowdown, *self.memory_ratios]
        engines = self.engine_slowdowns[: (MAX_BYTES - FLOAT_BYTES * len(head)) // ENGINE_BYTES]
        packed_engines = [
            value
            for short_id, ratio in engines
            for value in (short_id, min(255, max(0, int(SLOWDOWN_SCALE * ratio))))
        ]
        return struct.pack(f"<{len(head)}f" + "HB" * len(engines), *head, *packed_engines)

    @classmethod
    def unpack(cls, data: bytes, tenant_count: int, class_count: int) -> PeerMessage | None:
        """Decode a message; None if it is malformed for these numbers of tenants and classes."""
        float_count = tenant_count + 1 + class_count
        if len(data) < FLOAT_BYTES * float_count or (len(data) - FLOAT_BYTES * float_count) % ENGINE_BYTES:
            return None
        head = list(struct.unpack_from(f"<{float_count}f", data))
        if not all(0 <= value < MAX_VALUE for value in head):
            return None
        engines = [
            (short_id, ratio / SLOWDOWN_SCALE)
            for short_id, ratio in struct.iter_unpack("<HB", data[FLOAT_BYTES * float_count :])
        ]
        return cls(head[:tenant_count], head[tenant_count], head[tenant_count + 1 :], engines)
