"""Errors of a BGP session with the codes of RFC 4271 (section 4.5) and RFC 4486.

The codec and the session raise `BgpError`; the session then sends the peer a NOTIFICATION with the same codes.
"""

from __future__ import annotations

from enum import IntEnum


class ErrorCode(IntEnum):
    """Error codes of a NOTIFICATION (RFC 4271, section 4.5)."""

    MESSAGE_HEADER = 1
    OPEN_MESSAGE = 2
    HOLD_TIMER_EXPIRED = 4
    FINITE_STATE_MACHINE = 5
    CEASE = 6


class HeaderSubcode(IntEnum):
    """Subcodes of `ErrorCode.MESSAGE_HEADER` (RFC 4271, section 6.1)."""

    CONNECTION_NOT_SYNCHRONIZED = 1
    BAD_MESSAGE_LENGTH = 2
    BAD_MESSAGE_TYPE = 3


class OpenSubcode(IntEnum):
    """Subcodes of `ErrorCode.OPEN_MESSAGE` (RFC 4271, section 6.2)."""

    UNSPECIFIC = 0
    UNSUPPORTED_VERSION = 1
    BAD_PEER_AS = 2
    BAD_BGP_IDENTIFIER = 3
    UNSUPPORTED_OPTIONAL_PARAMETER = 4
    UNACCEPTABLE_HOLD_TIME = 6


class CeaseSubcode(IntEnum):
    """Subcodes of `ErrorCode.CEASE` (RFC 4486, section 3)."""

    ADMINISTRATIVE_SHUTDOWN = 2


UNSPECIFIC = 0  # subcode of error codes without defined subcodes


class BgpError(Exception):
    """An error that ends the session with a NOTIFICATION.

    Attributes:
        code: The error code.
        subcode: The subcode; 0 if the code has none.
        data: Data field of the NOTIFICATION; its content depends on code and subcode.
    """

    def __init__(self, code: ErrorCode, subcode: int, data: bytes = b"", text: str = "") -> None:
        super().__init__(text or f"{code}/{subcode}")
        self.code, self.subcode, self.data = code, subcode, data
