"""The cluster subsystem: group membership of the instances and the periodic duties that they share.

`runtime.ClusterService` is the entry point for the daemon and other subsystems. The decision logic does no I/O: time
and randomness are passed in as arguments, and datagrams are returned as values. docs/duties.md lists the modules and
explains the design.
"""
