"""Code shared by all protocols: the reactor and its clock, dialing, engine pools, health checks, table groups."""
