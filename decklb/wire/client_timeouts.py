"""Time-outs of client connections, shared by the frame listener and the PostgreSQL listener.

A client that sends no readable message must be disconnected within 3 s of connecting, so both message time-outs are
well below that.
"""

from __future__ import annotations

FIRST_MESSAGE_TIMEOUT_MS = 2200.0  # from connecting to the end of the first complete message
PARTIAL_MESSAGE_TIMEOUT_MS = 2200.0  # from the first to the last byte of a message
# After the shutdown of our side, input is read and discarded for this long: closing a socket with unread bytes sends a
# reset, which can overtake the last answer.
LINGERING_CLOSE_TIMEOUT_MS = 3000.0
