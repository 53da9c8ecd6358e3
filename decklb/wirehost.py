"""The simulator's adapter: JSON lines in, JSON lines out, one Gateway per instance. It decides nothing.

`python -m decklb.wirehost` reads batches: a `clock` line, events of any instances, a `go` line. It answers each batch
with the actions and an `ok` line. The words of the wire are translated here, once, and reach no deeper.
"""

from __future__ import annotations

import base64
import binascii
import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

from decklb import interface as api
from decklb.policy.gateway import Gateway
from decklb.settings import settings_from

Json = dict[str, Any]
Lists = dict[int, list[api.Entry]]  # endpoint lists by the simulator's number

MAX_NOTE = 200  # characters of an error that the simulator is told
COMPLETE_MODES = "FC"  # modes of a `members` event whose list is the whole one
FAILED_MODE = "X"  # the call or subscription broke
USED_UP_BASE = 4096  # `used_up` is work in ms times this, plus memory
USED_UP_MEMORY_MB = 4  # MB of memory in one unit of it
EXIT_MALFORMED = 2  # exit status after input that can't be read


def entry_from(row: Json) -> api.Entry:
    """Translate one line of an endpoint list."""
    return api.Entry(
        row["engine"],
        row.get("region_part", ""),
        row.get("family_type", ""),
        row.get("group", 0),
        api.Phase(row["lifecycle"]),
        row.get("capacity_hint", 1.0),
        row.get("ready_at") or 0.0,
    )


def event_from(message: Json, lists: Lists) -> api.Event | None:
    """Translate one event; None for a kind this adapter does not know."""
    match message["msg"]:
        case "request":
            return _arrival(message)
        case "verdict":
            return _attempt_outcome(message)
        case "interim":
            return _progress(message)
        case "members":
            return _endpoint_list(message, lists)
        case "echo":
            return _probe_result(message)
        case "left":
            return api.Left(message["req"])
        case "timer":
            return api.Tick(message.get("label", ""))
        case "headers":
            return api.Started(message["req"], message.get("leg", 0))
        case "datagram":
            return _peer_message(message)
    return None


def _endpoint_list(message: Json, lists: Lists) -> api.Members:
    mode = message["mode"]
    if mode == FAILED_MODE:
        return api.Members([], False, True)
    return api.Members(lists.get(message.get("table", 0), []), mode in COMPLETE_MODES, False)


def _arrival(message: Json) -> api.Arrival:
    return api.Arrival(
        message["req"],
        message["lane"],
        str(message.get("owner") or ""),
        message["time_left"],
        message.get("tables", 0),
        message.get("table"),
        message.get("cost") or 0.0,
        message.get("footprint_mb") or 0.0,
        bool(message.get("repeat")),
    )


def _attempt_outcome(message: Json) -> api.Verdict:
    used_up = int(message.get("used_up") or 0)
    return api.Verdict(
        message["req"],
        message.get("leg", 0),
        message["engine"],
        api.Outcome(message["verdict"]),
        message.get("rtt", 0.0),
        bool(message.get("finished")),
        float(used_up // USED_UP_BASE),
        float(used_up % USED_UP_BASE * USED_UP_MEMORY_MB),
        message.get("pressure") or {},
        certain=True,
    )


def _progress(message: Json) -> api.Progress:
    return api.Progress(message["req"], message.get("leg", 0), message.get("kind", 0), message.get("level", 0.0))


def _probe_result(message: Json) -> api.Probed:
    outcome = api.Outcome(message["verdict"])
    return api.Probed(message["engine"], outcome, message.get("rtt", 0.0), message.get("pressure") or {})


def _peer_message(message: Json) -> api.Datagram | None:
    try:
        return api.Datagram(message.get("sender", 0), base64.b64decode(message.get("data", ""), validate=True))
    except (binascii.Error, ValueError):
        return None


def action_to(who: int, action: api.Action) -> Json:
    """Translate one action of an instance."""
    match action:
        case api.Send():
            fields = {"req": action.req, "engine": action.engine, "max_wait": action.max_wait}
            return {"msg": "attempt", "who": who, **fields}
        case api.Terms():
            fields = {"req": action.req, "memory_grant": action.memory, "lane": action.rank}
            return {"msg": "set_terms", "who": who, **fields}
        case api.Cancel():
            return {"msg": "retract", "who": who, "req": action.req, "leg": action.leg}
        case api.Probe():
            return {"msg": "probe", "who": who, "engine": action.engine}
        case api.Refuse():
            return {"msg": "bounce", "who": who, "req": action.req, "wait": action.wait}
        case api.Fail():
            return {"msg": "respond_error", "who": who, "req": action.req}
        case api.Sleep():
            return {"msg": "sleep", "who": who, "from_now": action.delay, "label": action.label}
        case api.Watch():
            return {"msg": "tail", "who": who, "want": True}
        case api.Tell():
            data = base64.b64encode(action.data).decode()
            return {"msg": "broadcast_to", "who": who, "target": action.peer, "data": data}


class Host:
    """Feeds batches to the gateways of this process, which share nothing."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.lists: Lists = {}

    def batch(self, now: float, messages: Iterable[Json]) -> list[Json]:
        """Handle one batch and return the reply's messages."""
        replies: list[Json] = []
        pending: dict[int, list[api.Event]] = {}
        for message in messages:
            if message["msg"] == "census":
                self.lists[message["table"]] = [entry_from(row) for row in message["rows_in"]]
                continue
            who = message.get("who")
            if who is None:
                continue
            if message["msg"] == "down":
                self.gateways.pop(who, None)
                pending.pop(who, None)
            elif message["msg"] == "boot":
                replies += self._boot(who, message)
                pending[who] = []
            elif (event := event_from(message, self.lists)) is not None and who in self.gateways:
                pending.setdefault(who, []).append(event)
        for who, events in pending.items():
            if who in self.gateways:
                replies += self._step(who, now, events)
        return replies

    def _boot(self, who: int, message: Json) -> list[Json]:
        """Start an instance; settings that can't be used are reported."""
        try:
            self.gateways[who] = Gateway(settings_from(message["setup"]), message["salt"])
        except (TypeError, ValueError, ArithmeticError, AttributeError) as error:
            return [_error_note(who, f"boot: {error!r}")]
        return []

    def _step(self, who: int, now: float, events: list[api.Event]) -> list[Json]:
        """Hand an instance its events; any fault of the decisions is reported, never hidden."""
        try:
            return [action_to(who, action) for action in self.gateways[who].step(now, events)]
        except Exception as error:
            return [_error_note(who, repr(error))]


def _error_note(who: int, text: str) -> Json:
    return {"msg": "give_in", "who": who, "note_text": text[:MAX_NOTE]}


def serve(source: TextIO, sink: TextIO) -> None:
    """Read batches until the input ends."""
    host, now = Host(), 0.0
    messages: list[Json] = []
    for line in source:
        if not line.strip():
            continue
        message = json.loads(line)
        if message["msg"] == "clock":
            now, messages = float(message["clock"]), []
        elif message["msg"] == "go":
            for reply in host.batch(now, messages):
                sink.write(json.dumps(reply, separators=(",", ":")) + "\n")
            sink.write('{"msg":"ok"}\n')
            sink.flush()
        else:
            messages.append(message)


def main() -> int:
    """Entry point of the adapter: the exit status."""
    try:
        serve(sys.stdin, sys.stdout)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        print(f"wirehost: malformed input: {error!r}", file=sys.stderr)
        return EXIT_MALFORMED
    return 0


if __name__ == "__main__":
    sys.exit(main())
