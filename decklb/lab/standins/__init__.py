"""Stand-ins on loopback sockets: engines, a directory, and a Byzantine cluster member."""
