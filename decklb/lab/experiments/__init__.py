"""Seeded experiments with their workloads, statistics and reports, and load on running managers."""
