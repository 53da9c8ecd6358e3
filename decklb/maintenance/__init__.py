"""Machines taken out for work in an order that the members settle: decisions, free of I/O. See docs/maintenance.md."""
