"""Constants that several mechanisms share. Those of one mechanism stand in its file."""

from __future__ import annotations

LONG_AGO = -1e12  # ms: a time before any other, for what has not happened yet
CONTROL_PERIOD_MS = 5000.0  # ms between updates of the tenants' weights (design page)
HOUSEKEEPING_PERIOD_MS = CONTROL_PERIOD_MS / 5  # between messages to peers and adaptations of limits
SCAN_TICKS = 10.0  # ticks between looks at deadlines; an answer may come this early
EWMA_WEIGHT = 0.05  # weight of one answer in moving averages: about twenty answers are remembered
PEER_WEIGHT = 0.1  # weight of a peer's report of slowness; own answers weigh twice to four times as much
