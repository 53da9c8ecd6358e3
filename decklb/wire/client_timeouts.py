"""Time limits of clients' connections, the same for the frame listener and for PostgreSQL's.

A client that says nothing readable is owed an end within 3 s of connecting, so both message time-outs are well below.
"""

from __future__ import annotations

FIRST_MESSAGE_TIMEOUT_MS = 2200.0  # from connecting to the end of the first whole message
PARTIAL_MESSAGE_TIMEOUT_MS = 2200.0  # from the first byte of a message to its last
# After our half is closed, what still comes is read and thrown away for so long: closing with bytes unread sends a
# reset, which can overtake the last answer.
LINGERING_CLOSE_TIMEOUT_MS = 3000.0
