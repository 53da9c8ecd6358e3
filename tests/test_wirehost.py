"""The simulator's adapter: as a subprocess and in process, on a few lines of its protocol."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

from decklb import wirehost

ROOT = Path(__file__).parent.parent
SETUP = {
    "categories": [{"name": "c", "aim": 500.0, "deadline": 2000.0, "semantics": "idempotent", "new": 1}],
    "kinds": ["k"],
    "domain": {"kind_cores": [4]},
    "limits": {"max_attempts": 2},
    "tick": 5.0,
    "rules": {},
}
ROW = {"engine": "10.0.0.1:7", "region_part": "z", "family_type": "k", "group": 0, "lifecycle": "up"}
BOOT = [
    {"msg": "boot", "who": 3, "salt": 5, "setup": SETUP},
    {"msg": "census", "table": 0, "rows_in": [ROW]},
    {"msg": "members", "who": 3, "mode": "C", "serial": 1, "table": 0},
]


def run_adapter(*batches, text_input=None):
    lines = []
    for i, batch in enumerate(batches):
        lines += [{"msg": "clock", "clock": 10.0 * i}, *batch, {"msg": "go"}]
    text = text_input if text_input is not None else "".join(json.dumps(line) + "\n" for line in lines)
    return subprocess.run(
        [sys.executable, "-m", "decklb.wirehost"], input=text, cwd=ROOT, capture_output=True, text=True, timeout=60
    )


def replies_by_batch(run):
    batches = [[]]
    for line in map(json.loads, run.stdout.splitlines()):
        batches[-1].append(line)
        if line["msg"] == "ok":
            batches.append([])
    return batches[:-1]


def test_request_is_sent_and_each_batch_closed():
    request = {"msg": "request", "who": 3, "req": "r1", "lane": "c", "time_left": 900.0, "fresh": True}
    run = run_adapter([], BOOT, [request, {"msg": "novelty", "who": 3}])
    assert run.returncode == 0
    first, _, last = replies_by_batch(run)
    assert first == [{"msg": "ok"}]
    sends = [message for message in last if message["msg"] == "attempt"]
    assert [(message["req"], message["engine"], message["who"]) for message in sends] == [("r1", "10.0.0.1:7", 3)]


def test_down_removes_an_instance_and_list_numbers_can_be_reused():
    other_row = ROW | {"engine": "10.0.0.2:7"}
    request = {"msg": "request", "who": 3, "req": "r1", "lane": "c", "time_left": 900.0}
    run = run_adapter(
        BOOT,
        [{"msg": "down", "who": 3}, BOOT[0], {"msg": "census", "table": 0, "rows_in": [other_row]}, BOOT[2], request],
        [{"msg": "down", "who": 3}, request],
    )
    assert [message["engine"] for message in replies_by_batch(run)[1] if message["msg"] == "attempt"] == ["10.0.0.2:7"]
    assert replies_by_batch(run)[2] == [{"msg": "ok"}]


def test_malformed_input_stops_the_adapter_with_one_line_of_error():
    for text in (
        "no json\n",
        '{"clock":1}\n',
        '["msg"]\n',
        '{"msg":"clock","clock":1}\n{"msg":"request","who":3}\n{"msg":"boot","who":3}\n{"msg":"go"}\n',
    ):
        run = run_adapter(text_input=text)
        assert run.returncode != 0 and len(run.stderr.splitlines()) == 1, text


def test_an_exception_in_the_policy_is_reported(monkeypatch):
    def failing_step(self, now, events):
        raise RuntimeError("broken")

    monkeypatch.setattr(wirehost.Gateway, "step", failing_step)
    host = wirehost.Host()
    (reply,) = host.handle_batch(0.0, BOOT)
    assert reply["msg"] == "give_in" and "broken" in reply["note_text"]


def test_probes_are_sent_and_their_answers_used():
    settings = BOOT[0]["setup"] | {"limits": {"probes": True}}
    settings["telemetry"] = {"how": "pull", "fields": ["rif"]}
    host = wirehost.Host()
    host.handle_batch(0.0, [BOOT[0] | {"setup": settings}, *BOOT[1:]])
    request = {"msg": "request", "who": 3, "req": "r1", "lane": "c", "time_left": 900.0}
    (probe,) = [message for message in host.handle_batch(1.0, [request]) if message["msg"] == "probe"]
    answer = {"msg": "echo", "who": 3, "engine": probe["engine"], "verdict": "GOOD", "rtt": 0.4}
    actions = host.handle_batch(6.0, [answer | {"pressure": {"rif": 1}}])
    assert [message["req"] for message in actions if message["msg"] == "attempt"] == ["r1"]
