"""The simulator's wire (JSON lines, one Gateway per instance). Translates and decides nothing."""

from __future__ import annotations

import base64
import binascii
import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

from decklb import interface as api
from decklb.rules import Gateway
from decklb.settings import settings_from

Json = dict[str, Any]


def entry_from(row: Json) -> api.Entry:
    """Translate one line of a list."""
    return api.Entry(
        row["engine"],
        row.get("region_part", ""),
        row.get("family_type", ""),
        row.get("group", 0),
        api.Phase(row["lifecycle"]),
        row.get("capacity_hint", 1.0),
        row.get("ready_at") or 0.0,
    )


def event_from(m: Json, lists: dict[int, list[api.Entry]]) -> api.Event | None:
    """Translate one event; None for a kind this adapter does not know."""
    kind = m["msg"]
    if kind == "request":
        return api.Arrival(
            m["req"],
            m["lane"],
            str(m.get("owner") or ""),
            m["time_left"],
            m.get("tables", 0),
            m.get("table"),
            m.get("cost") or 0.0,
            m.get("footprint_mb") or 0.0,
            bool(m.get("repeat")),
        )
    if kind == "verdict":
        used = int(m.get("used_up") or 0)
        return api.Verdict(
            m["req"],
            m.get("leg", 0),
            m["engine"],
            api.Outcome(m["verdict"]),
            m.get("rtt", 0.0),
            bool(m.get("finished")),
            float(used // 4096),
            float(used % 4096 * 4),
            m.get("pressure") or {},
            certain=True,
        )
    if kind == "interim":
        return api.Progress(m["req"], m.get("leg", 0), m.get("kind", 0), m.get("level", 0.0))
    if kind == "members":
        failed = m["mode"] == "X"
        return api.Members([] if failed else lists.get(m.get("table", 0), []), m["mode"] in "FC", failed)
    if kind == "echo":
        return api.Probed(m["engine"], api.Outcome(m["verdict"]), m.get("rtt", 0.0), m.get("pressure") or {})
    if kind == "left":
        return api.Left(m["req"])
    if kind == "timer":
        return api.Tick(m.get("label", ""))
    if kind == "headers":
        return api.Started(m["req"], m.get("leg", 0))
    if kind == "datagram":
        try:
            return api.Datagram(m.get("sender", 0), base64.b64decode(m.get("data", ""), validate=True))
        except (binascii.Error, ValueError):
            return None
    return None


def action_to(who: int, a: api.Action) -> Json:
    """Translate one action."""
    if isinstance(a, api.Send):
        return {"msg": "attempt", "who": who, "req": a.req, "engine": a.engine, "max_wait": a.max_wait}
    if isinstance(a, api.Terms):
        return {"msg": "set_terms", "who": who, "req": a.req, "memory_grant": a.memory, "lane": a.rank}
    if isinstance(a, api.Cancel):
        return {"msg": "retract", "who": who, "req": a.req, "leg": a.leg}
    if isinstance(a, api.Probe):
        return {"msg": "probe", "who": who, "engine": a.engine}
    if isinstance(a, api.Refuse):
        return {"msg": "bounce", "who": who, "req": a.req, "wait": a.wait}
    if isinstance(a, api.Fail):
        return {"msg": "respond_error", "who": who, "req": a.req}
    if isinstance(a, api.Sleep):
        return {"msg": "sleep", "who": who, "from_now": a.delay, "label": a.label}
    if isinstance(a, api.Watch):
        return {"msg": "tail", "who": who, "want": True}
    data = base64.b64encode(a.data).decode()
    return {"msg": "broadcast_to", "who": who, "target": a.peer, "data": data}


class Host:
    """Feeds batches to the gateways of this process, which share nothing."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.lists: dict[int, list[api.Entry]] = {}

    def batch(self, now: float, messages: Iterable[Json]) -> list[Json]:
        """Handle one batch and return the reply's messages."""
        replies: list[Json] = []
        pending: dict[int, list[api.Event]] = {}
        for m in messages:
            if m["msg"] == "census":
                self.lists[m["table"]] = [entry_from(row) for row in m["rows_in"]]
                continue
            who = m.get("who")
            if who is None:
                continue
            if m["msg"] == "down":
                self.gateways.pop(who, None)
                pending.pop(who, None)
            elif m["msg"] == "boot":
                try:
                    self.gateways[who] = Gateway(settings_from(m["setup"]), m["salt"])
                except (TypeError, ValueError, ArithmeticError, AttributeError) as error:
                    replies.append({"msg": "give_in", "who": who, "note_text": f"boot: {error!r}"[:200]})
                pending[who] = []
            elif (event := event_from(m, self.lists)) is not None and who in self.gateways:
                pending.setdefault(who, []).append(event)
        for who, events in pending.items():
            if who not in self.gateways:
                continue
            try:
                actions = self.gateways[who].step(now, events)
                replies += [action_to(who, a) for a in actions]
            except Exception as error:  # any fault of the decisions is reported, never hidden
                replies.append({"msg": "give_in", "who": who, "note_text": repr(error)[:200]})
        return replies


def serve(source: TextIO, sink: TextIO) -> None:
    """Read batches until the input ends."""
    host, now = Host(), 0.0
    messages: list[Json] = []
    for line in source:
        if not line.strip():
            continue
        m = json.loads(line)
        if m["msg"] == "clock":
            now, messages = float(m["clock"]), []
        elif m["msg"] == "go":
            for reply in host.batch(now, messages):
                sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
            sink.write('{"msg":"ok"}\n')
            sink.flush()
        else:
            messages.append(m)


def main() -> int:
    """Entry point of the adapter."""
    try:
        serve(sys.stdin, sys.stdout)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        print(f"wirehost: malformed input: {error!r}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
