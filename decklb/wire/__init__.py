"""What several wires share: the reactor's clock, rules for connections, groups of tables."""
