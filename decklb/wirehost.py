"""The simulator's adapter: JSON lines in, JSON lines out, one `Gateway` per instance. It makes no decisions.

`python -m decklb.wirehost` reads batches: a `clock` line, events of any instances, a `go` line. It answers each batch
with the actions and an `ok` line. The names of the simulator's protocol are translated here and used nowhere else.
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
EndpointLists = dict[int, list[api.Endpoint]]  # endpoint lists by the number that the simulator gives them

# Outcomes of attempts and health checks, by their names in the simulator's protocol.
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
WORD_BY_OUTCOME = {outcome: name for name, outcome in OUTCOME_BY_WORD.items()}

MAX_ERROR_LENGTH = 200  # characters of an error message to the simulator
COMPLETE_MODES = "FC"  # modes of a `members` event with a complete list
FAILED_MODE = "X"  # mode of a `members` event after a failed query or subscription
USED_UP_BASE = 4096  # `used_up` is the work in ms times this, plus the units of memory
USED_UP_MEMORY_MB = 4  # MB per unit of memory in `used_up`
EXIT_MALFORMED = 2  # exit status after malformed input


def parse_outcome(name: str) -> api.Outcome:
    """Translate an outcome's name in the protocol.

    Raises:
        ValueError: The protocol has no such name.
    """
    try:
        return OUTCOME_BY_WORD[name]
    except KeyError:
        raise ValueError(f"unknown verdict {name!r}") from None


def parse_endpoint(row: Json) -> api.Endpoint:
    """Translate one entry of an endpoint list."""
    return api.Endpoint(
        row["engine"],
        row.get("region_part", ""),
        row.get("family_type", ""),
        row.get("group", 0),
        api.Phase(row["lifecycle"]),
        row.get("capacity_hint", 1.0),
        row.get("ready_at") or 0.0,
    )


def parse_event(message: Json, lists: EndpointLists) -> api.Event | None:
    """Translate one event; None for a kind that this adapter does not know."""
    match message["msg"]:
        case "request":
            return _parse_request(message)
        case "verdict":
            return _parse_verdict(message)
        case "interim":
            return _parse_progress(message)
        case "members":
            return _parse_endpoint_list(message, lists)
        case "echo":
            return _parse_health_check(message)
        case "left":
            return api.ClientGone(message["req"])
        case "timer":
            return api.TimerFired(message.get("label", ""))
        case "headers":
            return api.ResponseStarted(message["req"], message.get("leg", 0))
        case "datagram":
            return _parse_peer_message(message)
    return None


def _parse_endpoint_list(message: Json, lists: EndpointLists) -> api.EndpointsUpdated:
    mode = message["mode"]
    if mode == FAILED_MODE:
        return api.EndpointsUpdated([], False, True)
    return api.EndpointsUpdated(lists.get(message.get("table", 0), []), mode in COMPLETE_MODES, False)


def _parse_request(message: Json) -> api.RequestArrived:
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


def _parse_verdict(message: Json) -> api.AttemptEnded:
    used_up = int(message.get("used_up") or 0)
    return api.AttemptEnded(
        message["req"],
        message.get("leg", 0),
        message["engine"],
        parse_outcome(message["verdict"]),
        message.get("rtt", 0.0),
        bool(message.get("finished")),
        float(used_up // USED_UP_BASE),
        float(used_up % USED_UP_BASE * USED_UP_MEMORY_MB),
        message.get("pressure") or {},
        authoritative=True,
    )


def _parse_progress(message: Json) -> api.AttemptProgress:
    return api.AttemptProgress(message["req"], message.get("leg", 0), message.get("kind", 0), message.get("level", 0.0))


def _parse_health_check(message: Json) -> api.HealthCheckResult:
    outcome = parse_outcome(message["verdict"])
    return api.HealthCheckResult(message["engine"], outcome, message.get("rtt", 0.0), message.get("pressure") or {})


def _parse_peer_message(message: Json) -> api.PeerMessage | None:
    try:
        return api.PeerMessage(message.get("sender", 0), base64.b64decode(message.get("data", ""), validate=True))
    except (binascii.Error, ValueError):
        return None


def encode_action(instance: int, action: api.Action) -> Json:
    """Translate one action of an instance."""
    match action:
        case api.StartAttempt():
            fields = {"req": action.request_id, "engine": action.engine_id, "max_wait": action.timeout_ms}
            return {"msg": "attempt", "who": instance, **fields}
        case api.SetResources():
            fields = {"req": action.request_id, "memory_grant": action.memory_mb, "lane": action.priority}
            return {"msg": "set_terms", "who": instance, **fields}
        case api.CancelAttempt():
            return {"msg": "retract", "who": instance, "req": action.request_id, "leg": action.attempt}
        case api.CheckHealth():
            return {"msg": "probe", "who": instance, "engine": action.engine_id}
        case api.Reject():
            return {"msg": "bounce", "who": instance, "req": action.request_id, "wait": action.retry_after_ms}
        case api.Fail():
            return {"msg": "respond_error", "who": instance, "req": action.request_id}
        case api.SetTimer():
            return {"msg": "sleep", "who": instance, "from_now": action.delay_ms, "label": action.label}
        case api.WatchEndpoints():
            return {"msg": "tail", "who": instance, "want": True}
        case api.SendPeerMessage():
            data = base64.b64encode(action.data).decode()
            return {"msg": "broadcast_to", "who": instance, "target": action.peer, "data": data}


class Host:
    """Passes batches of events to the gateways of this process, which share no state."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.lists: EndpointLists = {}

    def handle_batch(self, now: float, messages: Iterable[Json]) -> list[Json]:
        """Handle one batch and return the messages of the reply."""
        replies: list[Json] = []
        pending: dict[int, list[api.Event]] = {}
        for message in messages:
            if message["msg"] == "census":
                self.lists[message["table"]] = [parse_endpoint(row) for row in message["rows_in"]]
                continue
            instance = message.get("who")
            if instance is None:
                continue
            if message["msg"] == "down":
                self.gateways.pop(instance, None)
                pending.pop(instance, None)
            elif message["msg"] == "boot":
                replies += self._boot(instance, message)
                pending[instance] = []
            elif (event := parse_event(message, self.lists)) is not None and instance in self.gateways:
                pending.setdefault(instance, []).append(event)
        for instance, events in pending.items():
            if instance in self.gateways:
                replies += self._step(instance, now, events)
        return replies

    def _boot(self, instance: int, message: Json) -> list[Json]:
        """Start an instance.

        Invalid values in its settings are reported to the simulator; a missing key counts as malformed input.
        """
        try:
            self.gateways[instance] = Gateway(parse_settings(message["setup"]), message["salt"])
        except (TypeError, ValueError, ArithmeticError, AttributeError) as error:
            return [_error_reply(instance, f"boot: {error!r}")]
        return []

    def _step(self, instance: int, now: float, events: list[api.Event]) -> list[Json]:
        """Pass an instance its events; any exception in the policy is reported to the simulator."""
        try:
            return [encode_action(instance, action) for action in self.gateways[instance].step(now, events)]
        except Exception as error:
            return [_error_reply(instance, repr(error))]


def _error_reply(instance: int, text: str) -> Json:
    return {"msg": "give_in", "who": instance, "note_text": text[:MAX_ERROR_LENGTH]}


def serve(input_stream: TextIO, output_stream: TextIO) -> None:
    """Handle batches until the input ends."""
    host, now = Host(), 0.0
    messages: list[Json] = []
    for line in input_stream:
        if not line.strip():
            continue
        message = json.loads(line)
        if message["msg"] == "clock":
            now, messages = float(message["clock"]), []
        elif message["msg"] == "go":
            for reply in host.handle_batch(now, messages):
                output_stream.write(json.dumps(reply, separators=(",", ":")) + "\n")
            output_stream.write('{"msg":"ok"}\n')
            output_stream.flush()
        else:
            messages.append(message)


def main() -> int:
    """Run the adapter and return the exit status."""
    try:
        serve(sys.stdin, sys.stdout)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        print(f"wirehost: malformed input: {error!r}", file=sys.stderr)
        return EXIT_MALFORMED
    return 0


if __name__ == "__main__":
    sys.exit(main())
