"""An application for several processes, which records the start and the end of each run of a request in a file."""

import asyncio
import os
import time

from starlette.applications import Starlette
from starlette.responses import PlainTextResponse
from starlette.routing import Route

from decklb import interface as api
from decklb.middleware import Members, RequestSpec, WorkloadMiddleware
from decklb.settings import parse_settings
from tests.standins import SETTINGS

NAME = os.environ["MEMBER"]


def record(event, run):
    with open(os.environ["RUNS"], "a") as log:
        log.write(f"{event} {run} {NAME} {time.monotonic()}\n")


async def handle(request):
    run, work_ms = request.query_params["run"], int(request.query_params["work"])
    record("start", run)
    await asyncio.sleep(work_ms / 1000)
    record("end", run)
    return PlainTextResponse(f"{run} by {NAME}", status_code=201, headers={"x-run": run})


def classify(scope):
    key = next((value.decode() for name, value in scope["headers"] if name == b"idempotency-key"), "")
    return RequestSpec("load" if scope["method"] == "POST" else "read", "cusco", idempotency_key=key)


app = WorkloadMiddleware(
    Starlette(routes=[Route("/", handle, methods=["GET", "POST"])]),
    parse_settings(SETTINGS),
    [api.Endpoint(f"e{i}", "z", "k", 0, api.Phase.UP) for i in range(2)],
    classify,
    fleet=Members(os.environ["FLEET"], NAME),
)
