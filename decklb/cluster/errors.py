"""Errors of the cluster subsystem; the subsystems that send messages through it raise them too."""

from __future__ import annotations


class WireError(Exception):
    """A datagram or message was rejected.

    Attributes:
        reason: short code under which dropped datagrams are counted: `size`, `version`, `key`, `seal`, `shape`, `skew`,
            `replay` or `own`.
    """

    def __init__(self, reason: str, text: str = "") -> None:
        super().__init__(f"{reason}: {text}" if text else reason)
        self.reason = reason


class KeyFileError(Exception):
    """The key file cannot be used; the message names the file and the remedy."""
