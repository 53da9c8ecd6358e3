"""An application in several processes: each run of a request is written down, one line at its start and its end."""

import asyncio
import os
import time

from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from decklb import interface as api
from decklb.middleware import Ask, Members, WorkloadMiddleware
from decklb.settings import settings_from
from tests.standins import SETTINGS

NAME = os.environ["MEMBER"]


def note(what, key):
    with open(os.environ["RUNS"], "a") as log:
        log.write(f"{what} {key} {NAME} {time.monotonic()}\n")


async def run(request):
    key, work = request.query_params["run"], int(request.query_params["work"])
    note("start", key)
    await asyncio.sleep(work / 1000)
    note("end", key)
    return PlainTextResponse(f"{key} by {NAME}", status_code=201, headers={"x-run": key})


def classify(scope):
    once = next((v.decode() for k, v in scope["headers"] if k == b"idempotency-key"), "")
    return Ask("load" if scope["method"] == "POST" else "read", "cusco", once=once)


app = WorkloadMiddleware(
    Starlette(routes=[Route("/", run, methods=["GET", "POST"])]),
    settings_from(SETTINGS),
    [api.Entry(f"e{i}", "z", "k", 0, api.Phase.UP) for i in range(2)],
    classify,
    fleet=Members(os.environ["FLEET"], NAME),
)
