"""Fault injection into real processes: proxies, failing system calls, clock jumps, and schedules drawn from a seed."""
