"""Errors of the handoff, each with what to do about it."""

from __future__ import annotations


class HandoffError(Exception):
    """Base of all errors of this package."""


class KeyReusedError(HandoffError):
    """A key came with another request than the one it was first given to: the client must use a new key."""

    def __init__(self, key: str) -> None:
        super().__init__(f"key {key!r} was given to another request; give each request a key of its own")
        self.key = key


class RecordLimitError(HandoffError):
    """No capacity for another record: raise `capacity` or `room` in the settings, or add members."""

    def __init__(self, max_records: int) -> None:
        super().__init__(f"{max_records} records held; the request runs without a copy elsewhere")
        self.max_records = max_records


class FrameError(HandoffError):
    """A frame of another member that can't be decoded: its connection ends.

    Attributes:
        reason: A short code for the log: "shape", "version" or "replay".
    """

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason = reason


class StoreError(HandoffError):
    """The store's folder can't be used: free space there, or name another; until then nothing is protected here."""
