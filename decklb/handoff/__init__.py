"""Replicated records of in-flight requests, so that another member takes them over once when their holder is lost.

`coordinator.py` is the place to start, `docs/handoff.md` the design. All modules but `runtime.py`, `peer_connection.py`
and `store.py` are free of I/O.
"""
