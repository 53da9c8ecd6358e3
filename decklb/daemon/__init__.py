"""The process: assembly of its parts, signals, readiness, drain and reload."""
