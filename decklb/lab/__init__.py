"""The laboratory: the real modules on simulated time and a simulated network. Nothing here is part of the daemon."""
