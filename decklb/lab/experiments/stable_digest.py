"""Computes the digest of an experiment, which identifies the stored cells that belong to it.

The digest covers the names of classes and fields as they were when the first cells were stored, so stored cells stay
valid when a field is renamed. Adding a field changes the digest, since it changes what is run.
"""

from __future__ import annotations

import hashlib
from dataclasses import fields, is_dataclass
from enum import Enum

from decklb.lab.emulation.emulated_world import EmulatedWorld, InjectedFault
from decklb.lab.emulation.engine_model import EngineSpec
from decklb.lab.emulation.workload import RequestClass, Tenant, TrafficSurge, Workload

DIGEST_BYTES = 8

# For each class, its stored name and those of its fields, in the order in which the class declares the fields.
STORED_NAMES: dict[type, tuple[str, str]] = {
    EmulatedWorld: (
        "World",
        "workload managers engines engine span warm policy delay jitter loss list_late list_partial tick max_attempts "
        "extra_floor extra_ratio extra_window retry_after faults uneven probing sample",
    ),
    InjectedFault: ("Fault", "at what length share count times"),
    EngineSpec: (
        "EngineSpec",
        "cores memory disks sessions knee thrash seek spill warm_groups warm_gain cold cold_share overload fall "
        "restart",
    ),
    Workload: ("Workload", "rate classes tenants groups zipf day day_length swells retries patience trace"),
    RequestClass: (
        "Class",
        "name share work aim deadline worth late_worth threads io memory spread tail tail_times runaway runaway_times "
        "effect serial keys holds yields",
    ),
    Tenant: ("Tenant", "name share sends"),
    TrafficSurge: ("Swell", "start length times tenant tables"),
}


def stable_digest(*values: object) -> str:
    """Return the digest of the values as a hexadecimal string."""
    return hashlib.blake2b(stable_repr(values).encode(), digest_size=DIGEST_BYTES).hexdigest()


def stable_repr(value: object) -> str:
    """Return the `repr` of a value, with classes and fields under their stored names."""
    if isinstance(value, Enum):
        return repr(value.value)
    if isinstance(value, tuple):
        items = ", ".join(map(stable_repr, value))
        return f"({items},)" if len(value) == 1 else f"({items})"
    if is_dataclass(value):
        class_name, field_names = STORED_NAMES[type(value)]
        values = [stable_repr(getattr(value, field.name)) for field in fields(value)]
        items = ", ".join(f"{name}={text}" for name, text in zip(field_names.split(), values, strict=True))
        return f"{class_name}({items})"
    return repr(value)
