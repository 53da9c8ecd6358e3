"""Takes machines out for maintenance by a plan that the members agree on through a replicated register."""
