"""Replicates records of in-flight requests, so that exactly one other member takes a request over if its holder fails.

Start reading at `coordinator.py`; `docs/handoff.md` describes the design. Only `runtime.py`, `peer_connection.py` and
`store.py` do I/O.
"""
