"""The cluster subsystem: membership of instances, and the periodic duties that they share.

`runtime.ClusterService` is the entry point for the daemon and other subsystems. Decisions are free of I/O: time and
randomness come in as arguments, datagrams go out as values. docs/duties.md lists the modules and the design's reasons.
"""
