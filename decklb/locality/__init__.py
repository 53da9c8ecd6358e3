"""Failover between zones: states decided by a quorum of members, requests kept in their zone where that is safe."""
