"""Errors of the cluster subsystem, also raised by the subsystems whose messages it carries."""

from __future__ import annotations


class WireError(Exception):
    """A datagram or message that can't be accepted.

    Attributes:
        reason: a short code by which dropped datagrams are counted: `size`, `version`, `key`, `seal`, `shape`, `skew`,
            `replay` or `own`.
    """

    def __init__(self, reason: str, text: str = "") -> None:
        super().__init__(f"{reason}: {text}" if text else reason)
        self.reason = reason


class KeyFileError(Exception):
    """The key file can't be used; the message names it and says what to do."""
