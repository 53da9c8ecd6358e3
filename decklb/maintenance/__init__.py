"""Machines taken out for maintenance by one plan, which the members agree on through a replicated register."""
