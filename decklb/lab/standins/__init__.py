"""Stand-ins on loopback sockets: engines, a directory, and a member that reports falsely."""
