"""The endpoint list: the engines that the directory names, from its watch events or from a DNS answer. No I/O.

Used by `directory_client`, which keeps the list.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from decklb.interface import Phase
from decklb.net import dns

LIFECYCLES = {"Ready": Phase.UP, "Terminating": Phase.DRAINING, "Gone": Phase.REMOVED}
WEIGHT_SCALE = 10  # SRV weights are tenths


@dataclass(slots=True)
class DirectoryInstance:
    """One engine as the directory gives it."""

    engine_id: str
    address: tuple[str, int]
    zone: str
    machine_type: str
    cell: int
    phase: Phase
    weight: float  # the operators' hint of its size
    started_at_ms: int  # Unix time; 0 for long ago


def apply_updates(
    endpoints: dict[str, DirectoryInstance], updates: list[dict[str, Any]]
) -> dict[str, DirectoryInstance]:
    """The list after some watch events, in their order. Raises KeyError or ValueError for what can't be read."""
    endpoints = dict(endpoints)
    for update in updates:
        event = update["endpoints"]
        if event.get("reset"):
            endpoints.clear()
        for instance in event["instances"]:
            host, _, port = instance["hostPort"].rpartition(":")
            phase = LIFECYCLES[instance["lifecycle"]]
            engine = instance["instanceId"]
            if phase is Phase.REMOVED:
                endpoints.pop(engine, None)
            else:
                endpoints[engine] = DirectoryInstance(
                    engine,
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
    """The list in a DNS answer, by engine id.

    Raises:
        DnsError: a record that a target needs is missing.
        ValueError: a number in a TXT record can't be read.
    """
    endpoints = {}
    if reply.serial is None:
        raise dns.DnsError("no serial")
    for target in reply.targets:
        if target.name not in reply.addresses or target.name not in reply.texts:
            raise dns.DnsError("a target lacks its records")
        engine, _, domain = target.name.partition(".")
        text = dict(pair.partition("=")[::2] for pair in reply.texts[target.name])
        endpoints[engine] = DirectoryInstance(
            engine,
            (reply.addresses[target.name], target.port),
            domain.partition(".")[0],
            text.get("kind", ""),
            int(text.get("cell", 0)),
            Phase.DRAINING if target.priority else Phase.UP,
            target.weight / WEIGHT_SCALE,
            int(text.get("started", 0)),
        )
    return endpoints
