"""The proportional-integral controller that sets the tenants' weights, once a control period.

Krebs and Mehta, section II: proportional on the error of the last period, integral on those before, against
a mean latency R and a throughput quota X. The error, the gains and the period are the design page's and
ours: R is the mean objective of the classes answered, X the tenant's share of what this gateway answered.
Departure: the integral is a fading sum, since a gateway sees too few outcomes in two bare periods. State:
`ControlState`, one a tenant.
"""

from __future__ import annotations

from collections.abc import Collection

from decklb.policy.tenants import ControlState, Tenant

PROPORTIONAL_GAIN = 0.5  # weight per unit of relative error of the last period
INTEGRAL_GAIN = 0.25  # weight per unit of the fading sum of errors
INTEGRAL_MEMORY = 0.7  # share of the sum kept each period; two bare periods smooth too little
MAX_WEIGHT_FACTOR = 4.0  # of its share that a weight is at most: a burst is repaid in a few periods


def update_weights(tenants: Collection[Tenant]) -> None:
    """Set all weights for the next period, normalised to 1."""
    answered = sum(tenant.control.answers for tenant in tenants)
    shares = sum(tenant.spec.share for tenant in tenants) or 1.0
    for tenant in tenants:
        control = tenant.control
        error = _relative_error(control, max(1.0, tenant.spec.share / shares * answered))
        control.integral = INTEGRAL_MEMORY * control.integral + error
        factor = 1 + PROPORTIONAL_GAIN * error + INTEGRAL_GAIN * control.integral
        share = tenant.spec.share or 1.0 / len(tenants)
        tenant.weight = share * max(1 / MAX_WEIGHT_FACTOR, min(MAX_WEIGHT_FACTOR, factor))
        control.start_period()
    total = sum(tenant.weight for tenant in tenants)
    for tenant in tenants:
        tenant.weight /= total


def _relative_error(control: ControlState, quota: float) -> float:
    """Below 0 for a tenant past its quota of answers, above 0 for one within it that is served too slowly."""
    if control.answers > quota:
        return max(-1.0, 1 - control.answers / quota)
    if control.latency_sum_ms > control.objective_sum_ms > 0:
        return min(1.0, control.latency_sum_ms / control.objective_sum_ms - 1)
    return 0.0
