"""Seeded experiments, their workloads, load on a running program, statistics and reports."""
