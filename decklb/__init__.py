"""decklb: a workload manager in front of analytic query engines."""
