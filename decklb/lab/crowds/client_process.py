"""A process of clients of a crowd run: `python -m decklb.lab.crowds.client_process TASK`.

Clients have a process of their own, so that neither the manager's nor the engines' work delays them. It prints its
report as one line of JSON when the time of the task is over, or at SIGTERM.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import sys
import time
from contextlib import suppress

from decklb.lab.crowds import platform_clients, postgres_clients
from decklb.lab.crowds.reports import ClientReport, ClientTask, decode_task, encode_report

DELAY_CHECK_S = 0.02  # between two measurements of how late the event loop is
STOP_TIMEOUT_S = 1.0  # for the clients to close their connections
CROWD_NAMES_FROM, USUAL_NAMES_FROM = 0x1000, 0xF000_0000  # first numbers in the names of clients


async def _measure_delay(report: ClientReport) -> None:
    while True:
        due = time.monotonic() + DELAY_CHECK_S
        await asyncio.sleep(DELAY_CHECK_S)
        report.own_delay_ms = max(report.own_delay_ms, 1000 * (time.monotonic() - due))


async def play(task: ClientTask) -> ClientReport:
    """Play the clients of a task and return what they saw."""
    report, rng, numbers = ClientReport(), random.Random(task.seed), itertools.count(CROWD_NAMES_FROM + task.names_from)
    clients = platform_clients if task.front == "platform" else postgres_clients
    tasks = [asyncio.create_task(_measure_delay(report))]
    for crowd in task.crowds:
        for _ in range(crowd.clients):
            client_rng = random.Random(rng.random())
            tasks.append(asyncio.create_task(clients.run_crowd_client(task, crowd, report, numbers, client_rng)))
    for number in range(task.usual_clients):
        tasks.append(
            asyncio.create_task(
                clients.run_usual_client(task, report, f"{USUAL_NAMES_FROM + task.names_from + number:08x}")
            )
        )
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    with suppress(TimeoutError):
        await asyncio.wait_for(stopped.wait(), task.seconds)
    for running in tasks:
        running.cancel()
    await asyncio.wait(tasks, timeout=STOP_TIMEOUT_S)
    return report


async def _main() -> None:
    print(encode_report(await play(decode_task(sys.argv[1]))), flush=True)
    os._exit(0)  # a task whose cancellation was lost in `asyncio.wait_for` must not keep the process


if __name__ == "__main__":
    asyncio.run(_main())
