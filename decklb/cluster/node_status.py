"""Status of a node for operators: the rows of `decklb members` and counters, with the keys of the JSON output."""

from __future__ import annotations

from typing import Any

from decklb.cluster.duty_status import duty_health
from decklb.cluster.membership import Membership
from decklb.cluster.node import Node
from decklb.cluster.notices import state_name


def member_rows(membership: Membership, now: float) -> list[dict[str, Any]]:
    """Return all members as seen from this instance, sorted by name."""
    return [
        {
            "name": member.name,
            "address": f"{member.address[0]}:{member.address[1]}",
            "state": state_name(member.state),
            "life": member.incarnation,
            "settled": member.ready,
            "weight": member.weight,
            "since_ms": max(0, round(now - member.state_since)),
            "self": member is membership.local,
        }
        for member in sorted(membership.members.values(), key=lambda member: member.name)
    ]


def node_health(node: Node) -> dict[str, Any]:
    """Return the counters of the membership, of datagrams and of each kind of duty."""
    membership = node.membership
    counters = membership.counters
    return {
        "doubt": membership.health.score,
        "probes": counters.probes,
        "failed_probes": counters.failed_probes,
        "refuted": counters.refutations,
        "held_up": counters.stalls,
        "conflicts": counters.name_conflicts,
        "sent": node.sent,
        "sent_bytes": node.sent_bytes,
        "received": node.received,
        "dropped": dict(node.dropped),
        "news": len(membership.gossip.queue),
        "minority": membership.in_minority(node.timers.now),
        "yielding": membership.local.is_yielding,
        "duties": {kind: duty_health(scheduler) for kind, scheduler in node.schedulers.items()},
    }
