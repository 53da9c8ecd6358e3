"""Failover between zones: members decide the states of zones by quorum, and keep requests in their zone if possible."""
