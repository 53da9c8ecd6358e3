"""One statement that can't be read stops the manager: no other client gets an answer."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from rig.case import Case, main
from rig.pg_peers import PgClient, PgEngine
from rig.process import CaseError, Program, free_port
from rig.settings import configuration, lima

CLIENTS, INTERVAL_S, WORK_MS = 4, 0.25, 100
BUDGET_S, SLACK_S = 5.0, 0.55  # deadline of `consulta`; later than 0.5 s after it, or never, is lost (and 50 ms)
CALM_S, WATCH_S = 3.0, 24.0  # before the disruption, and after it
NEW_CLIENT_S = 8.0  # after the bad client
BAD_STATEMENT = "SET a" + 200_000 * " " + "x"  # less than the 262,144 bytes of a frame


class UsualClient:
    """Sends one lookup after the other on its session, and notes each that has no answer when its time runs out."""

    def __init__(self, case: Case, number: int, address: tuple[str, int]) -> None:
        self.case, self.number, self.address = case, number, address
        self.served = self.not_served = 0
        self.lost: list[str] = []
        self.worst_s = 0.0

    async def run(self, until: float) -> None:
        session = await PgClient.connect(self.address)
        count = 0
        while time.monotonic() < until:
            count += 1
            name = f"c{self.number}-{count}"
            sent = time.monotonic()
            try:
                answer = await asyncio.wait_for(
                    session.query(f"select * from g_{self.number}.t -- name={name} work={WORK_MS}"), BUDGET_S + SLACK_S
                )
            except TimeoutError:
                answer = ""
            waited = time.monotonic() - sent
            self.worst_s = max(self.worst_s, waited)
            if answer == "served":
                self.served += 1
            elif answer and answer != "connection ended":
                self.not_served += 1
                self.case.record.write(f"{name}: {answer}")
            else:
                self.lost.append(name)
                self.case.record.say(f"{name}: {answer or 'no answer'} {waited:.2f} s after it was sent: lost")
                return
            await asyncio.sleep(INTERVAL_S)
        session.close()


async def bad_client(case: Case, address: tuple[str, int]) -> str:
    """Connect, send one statement, and read what is answered."""
    session = await PgClient.connect(address)
    case.record.say(f"bad client: sends a statement of {len(BAD_STATEMENT)} bytes that can't be read")
    sent = time.monotonic()
    try:
        answer = await asyncio.wait_for(session.query(BAD_STATEMENT), WATCH_S)
    except TimeoutError:
        answer = "nothing"
    case.record.say(f"bad client: {answer} after {time.monotonic() - sent:.2f} s")
    session.close()
    return answer


async def new_client(case: Case, address: tuple[str, int]) -> None:
    """A usual client that comes after the bad one: noted only, not judged."""
    await asyncio.sleep(NEW_CLIENT_S)
    try:
        session = await PgClient.connect(address, timeout_s=BUDGET_S)
        case.record.say("a new client: has a session")
        session.close()
    except (TimeoutError, OSError, EOFError) as error:
        case.record.say(f"a new client: no session within {BUDGET_S:g} s ({type(error).__name__})")


async def body(case: Case) -> bool:
    engines = [PgEngine(f"motor-{i}", case.record) for i in (1, 2)]
    for engine in engines:
        await engine.start()
        case.stack.callback(engine.stop)
    program = Program("reportes-1", case.folder, case.record)
    case.stack.push_async_callback(program.end)
    address = ("127.0.0.1", free_port())
    postgres = {"user": "decklb", "database": "registro", "writes": "carga",
                "defaults": {"tenant": "cusco", "class": "consulta"}}  # fmt: skip
    ports = {engine.name: engine.port for engine in engines}
    await program.start_platform(configuration(address[1], lima("at_most_once"), ports, postgres=postgres))
    until = time.monotonic() + CALM_S + WATCH_S - BUDGET_S - SLACK_S
    clients = [UsualClient(case, i, address) for i in range(1, CLIENTS + 1)]
    tasks = [asyncio.ensure_future(client.run(until)) for client in clients]
    await asyncio.sleep(CALM_S)
    if any(client.lost or not client.served for client in clients):
        raise CaseError("requests were not served before the disruption")
    cpu_before = program.cpu_seconds()
    if case.trouble:
        late = asyncio.ensure_future(new_client(case, address))
        await bad_client(case, address)
        await late
    await asyncio.gather(*tasks)
    case.record.say(
        f"usual clients: served {sum(c.served for c in clients)}, other answers {sum(c.not_served for c in clients)}, "
        f"lost {sum(len(c.lost) for c in clients)}, longest wait {max(c.worst_s for c in clients):.2f} s; "
        f"the program used {program.cpu_seconds() - cpu_before:.1f} s of processor time after the first {CALM_S:g} s"
    )
    if not program.running:
        raise CaseError(f"the program ended: {program.log_tail()}")
    return not any(client.lost for client in clients)


main(body)
