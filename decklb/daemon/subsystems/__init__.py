"""Subsystems enabled by sections of the settings; the module of each is imported only if its section is given."""
