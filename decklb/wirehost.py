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
from decklb.settings import parse_settings

Json = dict[str, Any]
Lists = dict[int, list[api.Endpoint]]  # endpoint lists by the simulator's number

# The words of the simulator's protocol for the ends of attempts and health checks.
OUTCOME_BY_WORD = {
    "GOOD": api.Outcome.SUCCESS,
    "BAD": api.Outcome.ERROR,
    "FULL": api.Outcome.OVERLOADED,
    "LATE": api.Outcome.TIMED_OUT,
    "NOCONN": api.Outcome.UNREACHABLE,
    "RST": api.Outcome.CONNECTION_RESET,
    "CXL": api.Outcome.CANCELLED,
    "NOP": api.Outcome.NEVER_SENT,
}
WORD_BY_OUTCOME = {outcome: word for word, outcome in OUTCOME_BY_WORD.items()}

MAX_NOTE = 200  # characters of an error that the simulator is told
COMPLETE_MODES = "FC"  # modes of a `members` event whose list is the whole one
FAILED_MODE = "X"  # the call or subscription broke
USED_UP_BASE = 4096  # `used_up` is work in ms times this, plus memory
USED_UP_MEMORY_MB = 4  # MB of memory in one unit of it
EXIT_MALFORMED = 2  # exit status after input that can't be read


def outcome_from(word: str) -> api.Outcome:
    """Translate the word for an end. Raises ValueError for a word that the protocol does not have."""
    try:
        return OUTCOME_BY_WORD[word]
    except KeyError:
        raise ValueError(f"{word!r} is not a verdict") from None


def endpoint_from(row: Json) -> api.Endpoint:
    """Translate one line of an endpoint list."""
    return api.Endpoint(
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
            return api.ClientGone(message["req"])
        case "timer":
            return api.TimerFired(message.get("label", ""))
        case "headers":
            return api.ResponseStarted(message["req"], message.get("leg", 0))
        case "datagram":
            return _peer_message(message)
    return None


def _endpoint_list(message: Json, lists: Lists) -> api.EndpointsUpdated:
    mode = message["mode"]
    if mode == FAILED_MODE:
        return api.EndpointsUpdated([], False, True)
    return api.EndpointsUpdated(lists.get(message.get("table", 0), []), mode in COMPLETE_MODES, False)


def _arrival(message: Json) -> api.RequestArrived:
    return api.RequestArrived(
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


def _attempt_outcome(message: Json) -> api.AttemptEnded:
    used_up = int(message.get("used_up") or 0)
    return api.AttemptEnded(
        message["req"],
        message.get("leg", 0),
        message["engine"],
        outcome_from(message["verdict"]),
        message.get("rtt", 0.0),
        bool(message.get("finished")),
        float(used_up // USED_UP_BASE),
        float(used_up % USED_UP_BASE * USED_UP_MEMORY_MB),
        message.get("pressure") or {},
        authoritative=True,
    )


def _progress(message: Json) -> api.AttemptProgress:
    return api.AttemptProgress(message["req"], message.get("leg", 0), message.get("kind", 0), message.get("level", 0.0))


def _probe_result(message: Json) -> api.HealthCheckResult:
    outcome = outcome_from(message["verdict"])
    return api.HealthCheckResult(message["engine"], outcome, message.get("rtt", 0.0), message.get("pressure") or {})


def _peer_message(message: Json) -> api.PeerMessage | None:
    try:
        return api.PeerMessage(message.get("sender", 0), base64.b64decode(message.get("data", ""), validate=True))
    except (binascii.Error, ValueError):
        return None


def action_to(who: int, action: api.Action) -> Json:
    """Translate one action of an instance."""
    match action:
        case api.StartAttempt():
            fields = {"req": action.request_id, "engine": action.engine_id, "max_wait": action.timeout_ms}
            return {"msg": "attempt", "who": who, **fields}
        case api.SetResources():
            fields = {"req": action.request_id, "memory_grant": action.memory_mb, "lane": action.priority}
            return {"msg": "set_terms", "who": who, **fields}
        case api.CancelAttempt():
            return {"msg": "retract", "who": who, "req": action.request_id, "leg": action.attempt}
        case api.CheckHealth():
            return {"msg": "probe", "who": who, "engine": action.engine_id}
        case api.Reject():
            return {"msg": "bounce", "who": who, "req": action.request_id, "wait": action.retry_after_ms}
        case api.Fail():
            return {"msg": "respond_error", "who": who, "req": action.request_id}
        case api.SetTimer():
            return {"msg": "sleep", "who": who, "from_now": action.delay_ms, "label": action.label}
        case api.WatchEndpoints():
            return {"msg": "tail", "who": who, "want": True}
        case api.SendPeerMessage():
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
                self.lists[message["table"]] = [endpoint_from(row) for row in message["rows_in"]]
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
            self.gateways[who] = Gateway(parse_settings(message["setup"]), message["salt"])
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
