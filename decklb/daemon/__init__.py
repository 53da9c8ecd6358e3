"""The process: assembling the parts, signals, readiness, drain and reload."""
