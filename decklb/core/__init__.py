"""The protocol-independent core: the dispatcher between the fronts, the policy and the engine clients."""
