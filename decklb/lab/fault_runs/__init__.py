"""Runs between real processes under injected faults: handoff, zones, maintenance, system calls, connection cuts."""
