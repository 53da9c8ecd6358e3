"""Proportional-integral controller that sets the tenants' weights once per control period.

After Krebs and Mehta, section II: proportional to the error of the last period, integral over those before,
relative to a mean latency R and a throughput quota X. The error, the gains and the period are this project's
(docs/design.md): R is the mean latency objective of the classes answered, X the tenant's share of the answers
of this gateway. Unlike in the paper the integral is a decaying sum, since one gateway sees too few outcomes
in just two periods. State: one `ControlState` per tenant.
"""

from __future__ import annotations

from collections.abc import Collection

from decklb.policy.tenants import ControlState, Tenant

PROPORTIONAL_GAIN = 0.5  # weight per unit of relative error in the last period
INTEGRAL_GAIN = 0.25  # weight per unit of the decaying sum of errors
INTEGRAL_DECAY = 0.7  # fraction of the sum kept each period; a sum of just two periods is too noisy
MAX_WEIGHT_FACTOR = 4.0  # bound of the weight over the share; a burst is compensated within a few periods


def update_weights(tenants: Collection[Tenant]) -> None:
    """Set the weights of all tenants for the next period; they sum to 1."""
    answered = sum(tenant.control.answers for tenant in tenants)
    total_share = sum(tenant.spec.share for tenant in tenants) or 1.0
    for tenant in tenants:
        control = tenant.control
        error = _relative_error(control, max(1.0, tenant.spec.share / total_share * answered))
        control.integral = INTEGRAL_DECAY * control.integral + error
        factor = 1 + PROPORTIONAL_GAIN * error + INTEGRAL_GAIN * control.integral
        share = tenant.spec.share or 1.0 / len(tenants)
        tenant.weight = share * max(1 / MAX_WEIGHT_FACTOR, min(MAX_WEIGHT_FACTOR, factor))
        control.start_period()
    total = sum(tenant.weight for tenant in tenants)
    for tenant in tenants:
        tenant.weight /= total


def _relative_error(control: ControlState, answer_quota: float) -> float:
    """Return the relative error of a tenant.

    Negative if it has had more answers than its quota; positive if it is within its quota but its answers
    are slower than their objectives.
    """
    if control.answers > answer_quota:
        return max(-1.0, 1 - control.answers / answer_quota)
    if control.latency_sum_ms > control.objective_sum_ms > 0:
        return min(1.0, control.latency_sum_ms / control.objective_sum_ms - 1)
    return 0.0
