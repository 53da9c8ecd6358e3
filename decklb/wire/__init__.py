"""What several wires share: the reactor and its clock, dialing, engine pools, health checks, table groups."""
