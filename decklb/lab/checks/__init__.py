"""What a run must satisfy: invariants checked as it goes on, and verdicts on its records. Free of I/O."""
