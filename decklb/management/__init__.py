"""Queries and commands of operators to a running process: the control socket and its client."""
