"""Checks of runs: invariants checked during a run, and verdicts on the records of a finished run. No I/O."""
