"""Stand-ins for engines in tests with real sockets, and a helper that starts the program. Ports are ephemeral."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from decklb.net import resp

ROOT = Path(__file__).parent.parent
OPEN_SOCKETS = socket.socketpair()  # for doubles that need a descriptor whose peer has not left
DEADLINE = 20.0  # seconds after which a waiting test fails; no test uses it to check how long something takes

SETTINGS = {
    "categories": [
        {"name": "read", "aim": 2000.0, "deadline": 8000.0, "late_worth": 0.5, "semantics": "idempotent"},
        {
            "name": "load",
            "aim": 2000.0,
            "deadline": 8000.0,
            "late_worth": 0.5,
            "semantics": "at_most_once",
            "serial_by_key": True,
        },
    ],
    "tenants": [{"name": "cusco", "share": 0.7}, {"name": "ayacucho", "share": 0.3}],
    "kinds": ["k"],
    "domain": {"kind_cores": [8], "dop": [1, 1]},
    "tick": 5.0,
    "limits": {
        "max_attempts": 4,
        "cancelling": True,
        "retry_after": True,
        "max_retry_after": 500.0,
        "streams_per_conn": 100,
        "connect_timeout": 250.0,
        "conn_idle": 15000.0,
    },
    "rules": {"extra_floor": 50.0, "further_ratio": 0.1, "extra_window": 5000.0, "settle_after_doubt": 50.0},
}


def endpoint_list(*ports, index=1):
    """Return the `known` section of a configuration: the initial endpoint list, with one engine for each port."""
    instances = [
        {
            "instanceId": f"s-{i}",
            "hostPort": f"127.0.0.1:{p}",
            "zone": "z",
            "machineType": "k",
            "cell": 0,
            "lifecycle": "Ready",
            "weight": 8,
            "startedAtMs": 0,
        }
        for i, p in enumerate(ports)
    ]
    return {
        "index": index,
        "updates": [{"index": index, "endpoints": {"generation": 1, "reset": True, "instances": instances}}],
    }


class Loop:
    """An event loop in its own thread, so that servers run while a test blocks on its client."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(DEADLINE)

    def stop(self):
        """Stop the loop once its tasks have closed their connections."""
        self.run(self._cancel_tasks())
        self.loop.call_soon_threadsafe(self.loop.stop)

    async def _cancel_tasks(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def wait_for(condition, what="condition"):
    """Poll until the condition is true; fail the test after DEADLINE."""
    deadline = time.monotonic() + DEADLINE
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out waiting for {what}")
        time.sleep(0.005)


class Program:
    """`python -m decklb serve` as a subprocess that listens on `port`; `xml` is the text of the operators' settings."""

    def __init__(self, config, xml=""):
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name) / "config.json"
        self.configure(config)
        self.lines = []
        env = os.environ | {"LB_CONFIG": str(self.path)}
        if xml:
            path = Path(self.folder.name) / "settings.xml"
            path.write_text(xml)
            env["DECKLB_SETTINGS"] = str(path)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "decklb", "serve"], cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True
        )
        threading.Thread(target=self._read_log, daemon=True).start()
        wait_for(lambda: self.logged("listens on") or self.process.poll() is not None, "listening")
        if not self.logged("listens on"):
            raise AssertionError("the program did not start: " + "".join(self.lines))
        self.port = int(re.search(r"listens on [\d.]+:(\d+)", self.logged("listens on")).group(1))

    def configure(self, config):
        """Write the configuration file, for the start or for a reload by SIGHUP."""
        self.path.write_text(
            json.dumps(
                {"name": "n0", "listen": "127.0.0.1:0", "seed": "5", "settings": SETTINGS, "limits": {"sockets": 256}}
                | config
            )
        )

    def reload(self, config):
        self.configure(config)
        self.process.send_signal(signal.SIGHUP)

    def _read_log(self):
        for line in self.process.stderr:
            self.lines.append(line)

    def logged(self, text):
        """Return the first log line that contains this text, or ""."""
        return next((line for line in list(self.lines) if text in line), "")

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()


class PingEngine:
    """An engine that records the times of pings, and answers them unless it is `unresponsive`."""

    def __init__(self, loop):
        self.loop, self.pings, self.unresponsive = loop, [], False
        self.server = loop.run(asyncio.start_server(self._serve, "127.0.0.1", 0))
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        self.loop.loop.call_soon_threadsafe(self.server.close)

    async def _serve(self, reader, writer):
        parser = resp.RespReader()
        try:
            while data := await reader.read(65536):
                for parts in parser.feed(data):
                    if parts[0] == b"ping":
                        self.pings.append(time.monotonic())
                        if not self.unresponsive:
                            writer.write(resp.pack(parts[1], b"well", b"-", b""))
        except ConnectionError:
            pass
        finally:
            writer.close()


class PgEngine:
    """The server side of PostgreSQL's protocol 3.0, limited to what its public specification lets clients rely on.

    Statements: 'sleep MS' runs for that long and can be cancelled, 'fail STATE' returns an error with that SQLSTATE,
    'die' aborts the connection, 'die once' does so only the first time at any engine, 'rows N' returns its row N
    times. Any other statement returns its first parameter or its own text.
    """

    aborted_statements = set()  # statements that have aborted a connection, at any engine

    def __init__(self, loop):
        self.loop, self.cancel_events, self.count = loop, {}, 0  # events by cancellation key; count of connections
        self.log = []  # (what, statement, time), where what is "parse", "start" or "end"
        self.cancels = 0  # number of cancel requests
        self.cancels_read = threading.Event()  # while it is not set, cancel requests lie unread
        self.cancels_read.set()
        self.server = loop.run(asyncio.start_server(self._serve, "127.0.0.1", 0))
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        self.loop.loop.call_soon_threadsafe(self.server.close)

    def statements(self, what):
        """Return the recorded statements of one kind: "parse", "start" or "end"."""
        return [sql for kind, sql, _ in list(self.log) if kind == what]

    def _record(self, what, sql):
        self.log.append((what, sql, time.monotonic()))

    async def _serve(self, reader, writer):
        try:
            size, code = struct.unpack(">II", await reader.readexactly(8))
            body = await reader.readexactly(size - 8)
            if code == 80877102:  # CancelRequest
                self.cancels += 1
                await asyncio.to_thread(self.cancels_read.wait, DEADLINE)
                event = self.cancel_events.get(body)
                return event.set() if event else None
            self.count += 1
            key = struct.pack(">II", self.count, 99)
            self.cancel_events[key] = cancelled = asyncio.Event()
            writer.write(message(b"R", b"\0\0\0\0") + message(b"K", key) + message(b"Z", b"I"))
            await self._session(reader, writer, cancelled)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _session(self, reader, writer, cancelled):
        statements, portal, skip, bound_values = {}, None, False, None
        while True:
            kind = await reader.readexactly(1)
            size = int.from_bytes(await reader.readexactly(4), "big")
            body = await reader.readexactly(size - 4)
            if kind == b"X":
                return
            if kind == b"S":
                skip = False
                writer.write(message(b"Z", b"I"))
            elif kind == b"Q":
                sql = body[:-1].decode()
                writer.write((await self._run(sql, [], cancelled, writer, True))[0] + message(b"Z", b"I"))
            elif skip:
                continue
            elif kind == b"P":
                name, sql = body.split(b"\0")[:2]
                self._record("parse", sql.decode())
                statements[name] = sql.decode()
                writer.write(message(b"1"))
            elif kind == b"B":
                _, name, rest = body.split(b"\0", 2)
                portal, bound_values = statements[name], parse_parameters(rest)
                writer.write(message(b"2"))
            elif kind == b"D":
                sql = statements[body[1:-1]] if body[:1] == b"S" else portal
                if body[:1] == b"S":
                    count = len(set(re.findall(r"\$\d", sql)))
                    writer.write(message(b"t", struct.pack(">h", count) + struct.pack(">i", 25) * count))
                writer.write(row_description(sql))
            elif kind == b"E":
                out, skip = await self._run(portal, bound_values, cancelled, writer, False)
                writer.write(out)

    async def _run(self, sql, bound_values, cancelled, writer, describe):
        self._record("start", sql)
        cancelled.clear()
        try:
            if sql.startswith("sleep"):
                try:
                    await asyncio.wait_for(cancelled.wait(), int(sql.split()[1]) / 1000)
                    return error_response("57014", "canceling statement due to user request"), True
                except TimeoutError:
                    pass
            if sql.startswith("fail"):
                return error_response(sql.split()[1], "as asked"), True
            if sql == "die" or sql.startswith("die once") and sql not in self.aborted_statements:
                self.aborted_statements.add(sql)
                writer.transport.abort()
                raise ConnectionError
            values = bound_values or [sql.encode()]
            data = message(b"D", struct.pack(">h", 1) + struct.pack(">i", len(values[0])) + values[0])
            return (row_description(sql) if describe else b"") + data * row_count(sql) + message(
                b"C", b"SELECT 1\0"
            ), False
        finally:
            self._record("end", sql)


def row_count(sql):
    return int(m.group(1)) if (m := re.match(r"rows (\d+)", sql)) else 1


def message(kind, payload=b""):
    return kind + struct.pack(">I", len(payload) + 4) + payload


def row_description(sql):
    return message(b"T", b"\0\1v\0" + struct.pack(">ihihih", 0, 0, 25, -1, -1, 0))


def error_response(sqlstate, text):
    return message(b"E", b"SERROR\0VERROR\0C" + sqlstate.encode() + b"\0M" + text.encode() + b"\0\0")


def parse_parameters(rest):
    """Parse the parameter values of a Bind message, from its parameter format codes on."""
    (format_count,) = struct.unpack_from(">h", rest)
    offset = 2 + 2 * format_count
    (count,) = struct.unpack_from(">h", rest, offset)
    offset, values = offset + 2, []
    for _ in range(count):
        (size,) = struct.unpack_from(">i", rest, offset)
        values.append(rest[offset + 4 : offset + 4 + size] if size >= 0 else b"")
        offset += 4 + max(0, size)
    return values
