"""Recorded decisions: streams of events and the policy's actions on them, replayed and compared byte for byte.

`python -m tests.golden_decisions` records them again (only after an intended change of behaviour). A stream is a list
of JSON lines in the simulator's protocol, as `decklb.wirehost` reads it. Streams named `direct-*` also contain three
things that the protocol does not have but the embedding program sends: `uncertain` (it is uncertain whether the last
attempt of an ordering key has completed), `closing` (shutdown), and the fields `zone`, `zones` and `certain` of
requests and verdicts. They are replayed without wirehost.
"""

from __future__ import annotations

import base64
import gzip
import heapq
import io
import json
import random
from pathlib import Path

from decklb import interface as api
from decklb import wirehost
from decklb.settings import parse_settings

FOLDER = Path(__file__).parent / "golden" / "decisions"
TICK_MS = 5.0
SCENARIOS = {
    "wire-errors": {"further_ratio": None, "attempts": 4, "bad": 45, "balancers": 2},
    "wire-grants": {"grants": True, "balancers": 3, "peers": True, "duplicates": True, "stretch": 2.0},
    "wire-learned": {"grants": True, "balancers": 1, "rate": 0.4, "hold": 40.0, "engines": 6, "bad": 1},
    "wire-outliers": {
        "faulty": {0: "BAD", 1: "NOCONN", 2: "FULL"},
        "balancers": 2,
        "rate": 0.15,
        "span": 15e3,
        "forget": True,
    },
    "wire-overload": {
        "balancers": 2,
        "peers": True,
        "rate": 0.4,
        "cores": 1,
        "hold": 700.0,
        "engines": 2,
        "span": 12e3,
    },
    "wire-peers": {
        "balancers": 4,
        "peers": True,
        "quota": 15.0,
        "outages": True,
        "rate": 0.25,
        "cores": 1,
        "span": 14e3,
    },
    "wire-many-peers": {"balancers": 9, "peers": True, "rate": 0.04, "stray": True, "span": 6e3},
    "wire-lossy": {"lossy": 22, "duplicates": True, "attempts": 3, "balancers": 1, "hold": 60.0, "further_ratio": None},
    "wire-lossy-full": {"lossy": 30, "duplicates": True, "attempts": 3, "balancers": 1, "engines": 1, "cores": 1}
    | {"hold": 60.0, "further_ratio": None, "stops": True, "faulty": {0: "NOCONN"}, "fault_share": 0.15, "span": 14e3},
    "wire-lossy-cancel": {"lossy": 22, "attempts": 3, "balancers": 1, "hold": 60.0, "further_ratio": None},
    "wire-progress": {"progress": 100.0, "attempts": 3, "balancers": 2, "lossy": 8, "stretch": 1.0},
    "wire-probes": {"probes": True, "balancers": 3, "rate": 0.2, "engines": 9, "serial": True},
    "wire-cold": {"cold": 5000.0, "balancers": 2, "changes": 0.02, "further_ratio": 0.1},
    "wire-cold-many": {"cold": 5000.0, "balancers": 60, "hosted": 3, "changes": 0.02, "rate": 0.1, "engines": 5},
    "wire-placement": {"placement": True, "balancers": 2, "bad": 15, "serial": True, "ask": True, "stray": True},
    "direct-uncertain": {"serial": True, "balancers": 2, "settle": 300.0, "bad": 8, "stray": True},
    "direct-zones": {"placement": True, "serial": True, "balancers": 2, "changes": 0.01, "lossy": 5, "closing": True},
}


def is_direct(name):
    return name.startswith("direct-")


def read_stream(name, kind):
    return gzip.decompress((FOLDER / f"{name}.{kind}.gz").read_bytes()).decode()


def replay(name, text):
    """Return the policy's actions on a stream, as text."""
    if is_direct(name):
        return replay_direct(text)
    output = io.StringIO()
    wirehost.serve(io.StringIO(text), output)
    return output.getvalue()


def replay_direct(text):
    player, now, messages, answers = DirectPlayer(), 0.0, [], []
    for line in map(json.loads, text.splitlines()):
        if line["msg"] == "go":
            answers += player.handle_batch(now, messages) + [{"msg": "ok"}]
        elif line["msg"] == "clock":
            now, messages = line["clock"], []
        else:
            messages.append(line)
    return "".join(encode_line(answer) for answer in answers)


def encode_line(message):
    return json.dumps(message, separators=(",", ":")) + "\n"


class DirectPlayer:
    """Passes events to gateways through their own interface."""

    def __init__(self):
        self.gateways, self.lists = {}, {}

    def handle_batch(self, now, messages):
        pending, answers = {}, []
        for message in messages:
            if message["msg"] == "census":
                self.lists[message["table"]] = [wirehost.parse_endpoint(row) for row in message["rows_in"]]
            elif message["msg"] == "down":
                self.gateways.pop(message["who"], None)
            elif message["msg"] == "boot":
                self.gateways[message["who"]] = wirehost.Gateway(parse_settings(message["setup"]), message["salt"])
                pending[message["who"]] = []
            elif (event := self.event(message)) is not None and message["who"] in self.gateways:
                pending.setdefault(message["who"], []).append(event)
        for instance, events in pending.items():
            if instance in self.gateways:
                answers += [
                    wirehost.encode_action(instance, action) for action in self.gateways[instance].step(now, events)
                ]
        return answers

    def event(self, message):
        if message["msg"] == "uncertain":
            return api.CompletionUncertain(message["key"])
        if message["msg"] == "closing":
            return api.ShutdownStarted()
        event = wirehost.parse_event(message, self.lists)
        if message["msg"] == "request":
            event.preferred_zone, event.allowed_zones = message.get("zone", ""), message.get("zones")
        elif message["msg"] == "verdict":
            event.authoritative = message.get("certain", False)
        return event


def setup(scenario, gateway_index):
    """Return the settings of one gateway; features that the scenario does not name are off or small."""
    rng = random.Random(str(scenario))
    placement, serial = scenario.get("placement", False), scenario.get("serial", False)
    categories = [
        {"name": "read", "aim": 400.0, "deadline": 2000.0, "worth": 1.0, "late_worth": 0.3, "semantics": "idempotent"},
        {"name": "report", "aim": 2000.0, "deadline": 6000.0, "worth": 5.0, "semantics": "idempotent"},
        {
            "name": "write",
            "aim": 600.0,
            "deadline": 3000.0,
            "worth": 2.0,
            "late_worth": 0.5,
            "semantics": "at_most_once",
        },
        {"name": "keyed", "aim": 500.0, "deadline": 3000.0, "late_worth": 0.2, "semantics": "deduplicated"}
        | {"memory_span": 900.0, "group": rng.choice(["zone", "cell"]) if placement else "all"},
    ]
    categories[0]["aim_stretch"] = scenario.get("stretch", 0.0)
    categories[1]["streaming"] = True
    for name in ("write", "keyed"):
        next(c for c in categories if c["name"] == name)["serial_by_key"] = serial
    if placement:
        categories[1]["areas_open"] = ["za", "zb"]
        categories[0]["served_on"] = ["small", "large"]
    return {
        "categories": categories,
        "tenants": [
            {"name": "alpha", "share": 0.7, "quota_per_s": scenario.get("quota")},
            {"name": "beta", "share": 0.3, "quota_per_s": scenario.get("quota")},
        ],
        "me": gateway_index,
        "balancers": scenario["balancers"],
        "zone": "za",
        "kinds": ["small", "large"],
        "domain": {
            "dop": [1, 3, 2, 1],
            "holds_tables": [False, False, True, False],
            "yields_to_loads": [True, True, False, False],
            "kind_cores": [scenario.get("cores", 2), 4],
            "kind_memory_mb": [4000.0, 16000.0],
            "largest_share": 0.5,
            "grants_count": scenario.get("grants", False),
            "ranks_heeded": scenario.get("grants", False),
            "bills": scenario.get("grants", False),
            "progress": scenario.get("progress", 0.0),
        },
        "over_share_worth": 0.2,
        "discovery": "ask" if scenario.get("ask") else "push",
        "rules": {
            "cold_share": 0.3,
            "cold": scenario.get("cold", 0.0),
            "overload_factor": 2.0,
            "fall": 1000.0 if scenario.get("cold") else 0.0,
            "drain_grace": 500.0,
            "extra_floor": 2.0,
            "further_ratio": scenario.get("further_ratio", 0.2),
            "extra_window": 2000.0,
            "settle_after_doubt": scenario.get("settle", 100.0 if serial else 0.0),
        },
        "limits": {
            "cancelling": not scenario.get("duplicates"),
            "peer_messages": scenario.get("peers", False),
            "probes": scenario.get("probes", False),
            "retry_after": True,
            "max_retry_after": 700.0,
            "may_duplicate": scenario.get("duplicates", False),
            "max_attempts": scenario.get("attempts", 2),
        },
        "telemetry": {"how": "pull", "fields": ["rif"]} if scenario.get("probes") else {"how": "silent"},
        "tick": TICK_MS,
    }


class Simulation:
    """Clients, engines and an endpoint list around the gateways of one scenario; records events and actions."""

    def __init__(self, name):
        self.scenario, self.direct = SCENARIOS[name], is_direct(name)
        self.rng, self.now = random.Random(name), 1000.0
        self.player = DirectPlayer() if self.direct else wirehost.Host()
        self.instances = list(range(min(self.scenario["balancers"], self.scenario.get("hosted", 99))))
        self.engines = [self.make_engine(i) for i in range(self.scenario.get("engines", 4))]
        self.due, self.serial, self.requests, self.attempts = [], 0, 0, {}  # due: (time, number, message)
        self.recorded_events, self.recorded_actions, self.silent = [], [], set()

    def make_engine(self, number, ready_at=0.0):
        return {
            "engine": f"10.0.0.{number}:7",
            "region_part": ["za", "zb", "zc"][number % 3],
            "family_type": ["small", "large"][number % 2],
            "group": number % 2,
            "lifecycle": "up",
            "ready_at": ready_at,
        }

    def schedule(self, delay_ms, message):
        self.serial += 1
        heapq.heappush(self.due, (self.now + delay_ms, self.serial, message))

    def boot(self, instance):
        self.schedule(
            0.0, {"msg": "boot", "who": instance, "salt": 7 + instance, "setup": setup(self.scenario, instance)}
        )
        if not self.scenario.get("ask"):
            self.send_endpoint_list(instance, "C")

    def send_endpoint_list(self, instance, mode):
        self.schedule(0.0, {"msg": "census", "table": instance, "rows_in": [dict(row) for row in self.engines]})
        self.schedule(0.0, {"msg": "members", "who": instance, "mode": mode, "serial": self.serial, "table": instance})

    def run(self):
        for instance in self.instances:
            self.boot(instance)
        end_time = self.now + self.scenario.get("span", 8e3)
        while self.now < end_time or self.due and self.now < end_time + 7e3:
            if self.now < end_time:
                self.add_client_requests()
                self.inject_faults()
            self.batch()
            self.now += TICK_MS
        return "".join(map(encode_line, self.recorded_events)), "".join(map(encode_line, self.recorded_actions))

    def batch(self):
        messages = []
        while self.due and self.due[0][0] <= self.now:
            message = heapq.heappop(self.due)[2]
            if message["msg"] == "verdict":
                sent_at = self.attempts.pop((message["who"], message["req"], message["leg"]), None)
                if sent_at is None:
                    continue
                message["rtt"] = round(self.now - sent_at + 0.25, 3)
            messages.append(message)
        if not messages:
            return
        self.recorded_events += [{"msg": "clock", "clock": self.now}, *messages, {"msg": "go"}]
        replies = self.player.handle_batch(self.now, messages)
        self.recorded_actions += [*replies, {"msg": "ok"}]
        for reply in replies:
            self.carry_out(reply["who"], reply)

    def add_client_requests(self):
        for instance in self.instances:
            remaining_burst = 25 if self.rng.random() < 0.002 else 1
            while self.rng.random() < self.scenario.get("rate", 0.12) and remaining_burst or remaining_burst > 1:
                remaining_burst -= 1
                self.request(instance)
            if self.scenario.get("stray") and self.rng.random() < 0.02:
                self.schedule(0.0, {"who": instance} | self.rng.choice(self.stray_messages()))

    def request(self, instance):
        self.requests += 1
        lane = self.rng.choices(["read", "report", "write", "keyed"], [6, 1, 1, 2])[0]
        request = {
            "msg": "request",
            "who": instance,
            "req": f"r{self.requests}",
            "lane": "none" if self.rng.random() < 0.003 else lane,
            "owner": self.rng.choices(["alpha", "beta", "other", None], [50, 50, 2, 1])[0],
            "time_left": self.rng.choice([2000.0, 1500.0, 900.0, 60.0]) * (3 if lane == "report" else 1),
            "tables": self.rng.randint(0, 4),
        }
        if lane in ("write", "keyed"):
            request["table"] = self.rng.choice("xyz")
        if self.scenario.get("grants") or self.scenario.get("progress"):
            request["cost"] = round(self.rng.lognormvariate(5, 0.8), 1)
            request["footprint_mb"] = round(self.rng.lognormvariate(4, 0.5), 1)
        if self.direct and self.rng.random() < 0.4:
            request["zone"] = self.rng.choice(["za", "zb", "zc"])
            request["zones"] = self.rng.choice([None, ["za", "zb"], ["zb", "zc"]])
        self.schedule(0.0, request)
        if self.rng.random() < 0.02:
            self.schedule(self.rng.random() * 300, {"msg": "left", "who": instance, "req": request["req"]})

    def stray_messages(self):
        """Return messages that should have little or no effect."""
        data = [b"", b"\x00" * 7, b"\xff" * 28, bytes(self.rng.randrange(256) for _ in range(31))]
        return [
            {"msg": "datagram", "sender": self.rng.randrange(12), "data": base64.b64encode(d).decode()} for d in data
        ] + [
            {"msg": "datagram", "sender": 1, "data": "no base64"},
            {"msg": "novelty"},
            {"msg": "verdict", "req": "nobody", "leg": 0, "engine": "10.0.0.1:7", "verdict": "GOOD", "rtt": 1.0},
            {"msg": "left", "req": "nobody"},
            {"msg": "interim", "req": "r1", "leg": 9, "kind": 1, "level": 0.5},
            {"msg": "echo", "engine": "10.0.0.1:7", "verdict": "NOCONN"},
            {"msg": "echo", "engine": "unknown", "verdict": "GOOD", "pressure": {"rif": 1}},
            {"msg": "request", "req": "r1", "lane": "read", "time_left": 900.0},
            {"msg": "members", "mode": "X"},
        ]

    def inject_faults(self):
        if self.rng.random() < self.scenario.get("changes", 0.004):
            row = self.rng.choice(self.engines)
            row["lifecycle"] = self.rng.choice(["up", "up", "draining", "removed"])
            if row["lifecycle"] == "up":
                row["ready_at"] = self.now
            if self.scenario.get("forget") and row["lifecycle"] == "removed":
                self.engines.remove(row)
                self.engines.append(self.make_engine(len(self.engines) + 10, self.now))
            for instance in self.instances:
                self.send_endpoint_list(instance, self.rng.choice("FCU"))
        if self.scenario.get("outages") and self.rng.random() < 0.0015:  # a gateway's messages stop or resume
            self.silent ^= {self.rng.choice(self.instances)}
        if self.scenario.get("outages") and self.rng.random() < 0.0004:
            instance = self.rng.choice(self.instances)
            self.schedule(0.0, {"msg": "down", "who": instance})
            self.schedule(TICK_MS, {"msg": "novelty", "who": instance})
            self.now += TICK_MS
            self.batch()
            self.attempts = {key: sent for key, sent in self.attempts.items() if key[0] != instance}
            self.boot(instance)
        if self.scenario.get("stops") and self.rng.random() < 0.004:  # all engines are draining for a while
            down = [row | {"lifecycle": "draining"} for row in self.engines]
            self.schedule(0.0, {"msg": "census", "table": 90, "rows_in": down})
            self.schedule(0.0, {"msg": "members", "who": 0, "mode": "C", "serial": self.serial, "table": 90})
            self.schedule(0.0, {"msg": "novelty", "who": 0})
            heapq.heappush(
                self.due,
                (
                    self.now + 900.0,
                    self.serial + 0.5,
                    {"msg": "census", "table": 0, "rows_in": [dict(row) for row in self.engines]},
                ),
            )
            heapq.heappush(
                self.due, (self.now + 900.0, self.serial + 0.6, {"msg": "members", "who": 0, "mode": "C", "table": 0})
            )
        if self.scenario.get("closing") and 7000 < self.now < 7000 + TICK_MS + 1:
            self.schedule(0.0, {"msg": "closing", "who": 1})

    def carry_out(self, instance, reply):
        match reply["msg"]:
            case "attempt":
                self.start_attempt(instance, reply)
            case "retract":
                self.end_attempt(4.0, instance, reply["req"], reply["leg"], "", "CXL")
            case "probe":
                queries = self.rng.randint(0, 9)
                answer = {"msg": "echo", "who": instance, "engine": reply["engine"], "verdict": "GOOD", "rtt": 0.4}
                lost = self.rng.random() < 0.1
                self.schedule(
                    self.rng.choice([1.0, 8.0]),
                    answer | ({"verdict": "LATE"} if lost else {"pressure": {"rif": queries}}),
                )
            case "sleep":
                self.schedule(reply["from_now"], {"msg": "timer", "who": instance, "label": reply["label"]})
            case "tail":
                if self.rng.random() < 0.4:
                    self.schedule(2.0, {"msg": "members", "who": instance, "mode": "X"})
                else:
                    self.send_endpoint_list(instance, "F")
            case "broadcast_to":
                peers = [p for p in self.instances if p != instance] if reply["target"] == -1 else [reply["target"]]
                for peer in peers:
                    if instance not in self.silent and peer in self.instances:
                        self.schedule(1.0, {"msg": "datagram", "who": peer, "sender": instance, "data": reply["data"]})

    def start_attempt(self, instance, reply):
        request_id, engine = reply["req"], reply["engine"]
        attempt_number = 0
        while (instance, request_id, attempt_number, "sent") in self.attempts:
            attempt_number += 1
        self.attempts[instance, request_id, attempt_number, "sent"] = self.attempts[
            instance, request_id, attempt_number
        ] = self.now
        weights = [70, self.scenario.get("bad", 4), 2, 2, 2, self.scenario.get("lossy", 1)]
        outcome = self.rng.choices(["GOOD", "BAD", "FULL", "NOCONN", "RST", "LATE"], weights)[0]
        number = int(engine.split(":")[0].rpartition(".")[2])
        if number in self.scenario.get("faulty", {}) and self.rng.random() < self.scenario.get("fault_share", 0.75):
            outcome = self.scenario["faulty"][number]
        duration_ms = self.rng.expovariate(1 / self.scenario.get("hold", 150.0)) + 5.0
        if outcome in ("BAD", "FULL", "NOCONN"):
            duration_ms = 2.0
        if outcome == "LATE" or duration_ms > reply["max_wait"]:
            outcome, duration_ms = "LATE", reply["max_wait"]
        self.end_attempt(duration_ms, instance, request_id, attempt_number, engine, outcome)
        if self.scenario.get("progress"):
            for report_number in range(1, int(min(duration_ms, 1000) / self.scenario["progress"]) + 1):
                if self.rng.random() < 0.8:
                    level = round(
                        self.rng.choice([0.02, min(0.99, report_number * self.scenario["progress"] / duration_ms)]), 3
                    )
                    kind = self.rng.choice([1, 1, 1, 2, 3])
                    report_at = report_number * self.scenario["progress"]
                    self.schedule(
                        report_at,
                        {
                            "msg": "interim",
                            "who": instance,
                            "req": request_id,
                            "leg": attempt_number,
                            "kind": kind,
                            "level": level,
                        },
                    )
        if outcome == "GOOD" and self.rng.random() < 0.1:
            self.schedule(
                duration_ms / 2, {"msg": "headers", "who": instance, "req": request_id, "leg": attempt_number}
            )

    def end_attempt(self, delay_ms, instance, request_id, attempt_number, engine, outcome):
        used_up = self.rng.randint(20, 300) * 4096 + self.rng.randint(5, 90) if self.scenario.get("grants") else 0
        verdict = {
            "msg": "verdict",
            "who": instance,
            "req": request_id,
            "leg": attempt_number,
            "engine": engine,
            "verdict": outcome,
            "rtt": 0.0,
        }
        if self.direct:
            verdict["certain"] = self.rng.random() < 0.3
            if outcome == "GOOD" and self.rng.random() < 0.3:
                self.schedule(
                    delay_ms + self.rng.random() * 400,
                    {"msg": "uncertain", "who": instance, "key": self.rng.choice("xyz")},
                )
        self.schedule(delay_ms, verdict | {"finished": outcome == "GOOD", "used_up": used_up})


def record():
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name in SCENARIOS:
        events, answers = Simulation(name).run()
        for kind, text in (("in", events), ("out", answers)):
            (FOLDER / f"{name}.{kind}.gz").write_bytes(gzip.compress(text.encode(), 9, mtime=0))
        print(f"{name}: {events.count(chr(10))} lines in, {answers.count(chr(10))} out")


if __name__ == "__main__":
    record()
