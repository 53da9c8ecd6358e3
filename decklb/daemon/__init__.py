"""The daemon process: assembly of its components, signals, readiness, drain and reload."""
