"""Work in hand taken over once when its manager is lost: the decisions, free of I/O. See docs/handoff.md."""
