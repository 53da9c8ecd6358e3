"""Constants that several modules of the policy share. Constants of one mechanism are in its module."""

from __future__ import annotations

LONG_AGO = -1e12  # ms; earlier than any other time, for events that have not happened yet
CONTROL_PERIOD_MS = 5000.0  # ms between updates of the tenants' weights (docs/design.md)
HOUSEKEEPING_PERIOD_MS = CONTROL_PERIOD_MS / 5  # ms between messages to peers and updates of limits
SCAN_TICKS = 10.0  # ticks between two checks of deadlines; a request may be answered this much early
EWMA_WEIGHT = 0.05  # weight of one answer in moving averages, which thus cover about twenty answers
PEER_WEIGHT = 0.1  # weight of a slowdown reported by a peer; own answers weigh two to four times as much
