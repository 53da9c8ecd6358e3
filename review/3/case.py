"""Statements on groups of tables that don't exist fill the manager's memory until the platform kills it."""

from __future__ import annotations

import asyncio
import itertools
import signal
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig.case import Case, main
from rig.frames_peers import Directory, FrameClient, RespEngine, ready
from rig.process import CaseError, Program, free_port
from rig.settings import configuration, lima

ENGINES = 10  # the pages: 7 to 10 on the busiest days
MEMORY_MB = 192  # the pages: at most 192 MB on scored days
BAD_CONNECTIONS, BAD_OPEN = 24, 30  # at most 32 requests may be open on a connection
GROUPS = 20  # groups of tables that exist
USUAL_INTERVAL_S, USUAL_WORK_S = 0.05, 0.1
CALM_S, WATCH_S = 3.0, 90.0
SAMPLE_S = 0.1


def behave(_rid: str, statement: bytes) -> tuple[float, bool]:
    """How long an engine runs a statement, and whether it can use it: it has the groups 1 to GROUPS."""
    group = int(statement.partition(b"g_")[2].partition(b".")[0])
    return (USUAL_WORK_S, True) if group <= GROUPS else (0.002, False)


class Clients:
    """The clients of the manager, usual and bad, with what they were answered."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.numbers = itertools.count(1)
        self.usual: Counter[str] = Counter()
        self.bad: Counter[str] = Counter()

    def fields(self, number: int) -> dict[str, str]:
        return {"method": "consulta", "rid": f"{number:016x}", "budget": "5000", "acct": "cusco"}

    async def run_usual(self) -> None:
        client = await FrameClient.connect(self.port)
        while not client.ended:
            number = next(self.numbers)
            future = client.send(self.fields(number), b"select a, b, c from g_%d.t" % (1 + number % GROUPS))
            future.add_done_callback(lambda done: self.usual.update([done.result()]))
            await asyncio.sleep(USUAL_INTERVAL_S)

    async def run_bad(self) -> None:
        """Send at full speed, read all answers, and send again: the group is a new one each time, and none exists."""
        client = await FrameClient.connect(self.port)

        def send() -> None:
            number = next(self.numbers)
            client.send(self.fields(number), b"select a, b, c from g_%d.t" % (1000 + number)).add_done_callback(answered)

        def answered(done: asyncio.Future[str]) -> None:
            self.bad.update([done.result()])
            if not client.ended:
                send()

        for _ in range(BAD_OPEN):
            send()


async def body(case: Case) -> bool:
    record = case.record
    engines = [RespEngine(f"s-{i:08x}", record, behave) for i in range(ENGINES)]
    for engine in engines:
        await engine.start()
        case.stack.callback(engine.stop)
    ports = {engine.name: engine.port for engine in engines}
    directory = Directory({name: (port, 0) for name, port in ports.items()})
    await directory.start()
    case.stack.callback(directory.stop)
    program = Program("n0", case.folder, record)
    case.stack.push_async_callback(program.end)
    port = free_port()
    config = configuration(port, lima(), ports, resolver=f"127.0.0.1:{directory.port}")
    config["limits"]["memory_mb"] = MEMORY_MB
    await program.start_platform(config)
    while not await ready(port):
        await asyncio.sleep(0.1)

    clients = Clients(port)
    tasks = [asyncio.ensure_future(clients.run_usual())]
    await asyncio.sleep(CALM_S)
    record.say(f"before: {program.memory_mb():.1f} MB, usual clients {dict(clients.usual)}")
    if not clients.usual["served"]:
        raise CaseError("nothing was served before the disruption")
    if case.trouble:
        tasks += [asyncio.ensure_future(clients.run_bad()) for _ in range(BAD_CONNECTIONS)]
    start, told, killed = time.monotonic(), 0.0, False
    while time.monotonic() - start < WATCH_S and program.running:
        memory = program.memory_mb()
        if memory > MEMORY_MB:
            record.say(f"the program holds {memory:.1f} MB of {MEMORY_MB}: the platform kills it")
            program.signal(signal.SIGKILL)
            killed = True
            await asyncio.sleep(0.5)
            break
        if time.monotonic() - start >= told:
            told += 5.0
            runs = sum(engine.count for engine in engines)
            record.say(f"{memory:.1f} MB; engines were sent {runs}, bad clients {dict(clients.bad)}, usual {dict(clients.usual)}")
        await asyncio.sleep(SAMPLE_S)
    if not killed and not program.running:
        raise CaseError(f"the program ended by itself: {program.log_tail()}")
    record.say(f"after: usual clients {dict(clients.usual)}, bad clients {dict(clients.bad)}")
    for task in tasks:
        task.cancel()
    return not killed


main(body)
