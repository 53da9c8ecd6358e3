"""Errors of the handoff, and how to resolve them."""

from __future__ import annotations


class HandoffError(Exception):
    """Base of all errors of this package."""


class KeyReusedError(HandoffError):
    """A key was reused for a different request. The client must use a new key for each request."""

    def __init__(self, key: str) -> None:
        super().__init__(f"key {key!r} already belongs to a different request; use a new key for each request")
        self.key = key


class RecordLimitError(HandoffError):
    """There is no capacity for another record: raise `capacity` or `room` in the settings, or add members."""

    def __init__(self, max_records: int) -> None:
        super().__init__(
            f"no capacity for another record: the limit of {max_records} records or of their total size is reached"
        )
        self.max_records = max_records


class FrameError(HandoffError):
    """A frame from another member could not be decoded. The connection is closed.

    Attributes:
        reason: A short code for the log: "shape", "version" or "replay".
    """

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(f"{reason}: {detail}" if detail else reason)
        self.reason = reason


class StoreError(HandoffError):
    """The store's folder is unusable: free space there or choose another. Until then no request is protected here."""
