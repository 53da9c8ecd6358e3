"""Decodes the endpoint list, the engines that the directory lists, from watch events or from a DNS answer. No I/O.

Used by `directory_client`, which keeps the list.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from decklb.interface import Phase
from decklb.net import dns

LIFECYCLES = {"Ready": Phase.UP, "Terminating": Phase.DRAINING, "Gone": Phase.REMOVED}
WEIGHT_SCALE = 10  # SRV weights are in tenths


@dataclass(slots=True)
class DirectoryInstance:
    """An engine as listed by the directory."""

    engine_id: str
    address: tuple[str, int]
    zone: str
    machine_type: str
    cell: int
    phase: Phase
    weight: float  # relative capacity as set by the operators
    started_at_ms: int  # Unix time in ms; 0: long ago


def apply_updates(
    endpoints: dict[str, DirectoryInstance], updates: list[dict[str, Any]]
) -> dict[str, DirectoryInstance]:
    """Return the list after watch events, applied in order. Raises KeyError or ValueError for invalid events."""
    endpoints = dict(endpoints)
    for update in updates:
        event = update["endpoints"]
        if event.get("reset"):
            endpoints.clear()
        for instance in event["instances"]:
            host, _, port = instance["hostPort"].rpartition(":")
            phase = LIFECYCLES[instance["lifecycle"]]
            engine_id = instance["instanceId"]
            if phase is Phase.REMOVED:
                endpoints.pop(engine_id, None)
            else:
                endpoints[engine_id] = DirectoryInstance(
                    engine_id,
                    (host, int(port)),
                    instance.get("zone", ""),
                    instance.get("machineType", ""),
                    int(instance.get("cell", 0)),
                    phase,
                    float(instance.get("weight", 1)),
                    int(instance.get("startedAtMs") or 0),
                )
    return endpoints


def from_reply(reply: dns.Reply) -> dict[str, DirectoryInstance]:
    """Return the list in a DNS answer, by engine id.

    Raises:
        DnsError: The serial, or the A or TXT record of a target, is missing.
        ValueError: A number in a TXT record is invalid.
    """
    endpoints = {}
    if reply.serial is None:
        raise dns.DnsError("no serial")
    for target in reply.targets:
        if target.name not in reply.addresses or target.name not in reply.texts:
            raise dns.DnsError("a target has no A or TXT record")
        engine_id, _, domain = target.name.partition(".")
        text = dict(pair.partition("=")[::2] for pair in reply.texts[target.name])
        endpoints[engine_id] = DirectoryInstance(
            engine_id,
            (reply.addresses[target.name], target.port),
            domain.partition(".")[0],
            text.get("kind", ""),
            int(text.get("cell", 0)),
            Phase.DRAINING if target.priority else Phase.UP,
            target.weight / WEIGHT_SCALE,
            int(text.get("started", 0)),
        )
    return endpoints
