"""Named faults of the handoff, each with what to do."""

from __future__ import annotations


class HandoffError(Exception):
    """A fault of the handoff."""


class KeyReused(HandoffError):
    """A key names another request than the one it was first given to: the client must make a new key."""

    def __init__(self, key: str) -> None:
        super().__init__(f"key {key!r} was given to another request; give each request a key of its own")
        self.key = key


class TableFull(HandoffError):
    """No room for another record: the request runs unprotected; raise `capacity` or add members."""

    def __init__(self, capacity: int) -> None:
        super().__init__(f"{capacity} records held; the request runs without a copy elsewhere")
        self.capacity = capacity
