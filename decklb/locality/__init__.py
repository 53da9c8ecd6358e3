"""Failover between zones and regions decided in common: the decisions, free of I/O. See docs/locality.md."""
