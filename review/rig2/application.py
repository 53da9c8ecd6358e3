"""A stand-in application with the middleware, as one process of a fleet, on a small HTTP server of its own.

    MEMBER=w0 FLEET=w0.xml SETTINGS=settings.json ENGINE=PORT python -m review.rig2.application

A request `POST /` or `GET /` names its class, its idempotency key, its budget and its work in headers. The application
has it executed at the engine, a server on loopback that is told `KEY WORK_MS` and answers with one line.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path
from typing import Any

from decklb import interface as api
from decklb.middleware import Members, RequestSpec, WorkloadMiddleware
from decklb.middleware.members import PASSING
from decklb.settings import parse_settings


def header(scope: Any, name: bytes) -> str:
    """Return a header, or an empty string."""
    return next((value.decode() for key, value in scope["headers"] if key == name), "")


async def application(scope: Any, receive: Any, send: Any) -> None:
    """Have the engine execute the request."""
    await receive()
    reader, writer = await asyncio.open_connection("127.0.0.1", int(os.environ["ENGINE"]))
    try:
        line = f"{scope['decklb.engine']} {os.environ['MEMBER']} {header(scope, b'x-token')} {header(scope, b'x-work')}"
        writer.write(line.encode() + b"\n")
        body = await reader.readline()
    finally:
        writer.close()
    await send({"type": "http.response.start", "status": 200, "headers": [(b"content-length", b"%d" % len(body))]})
    await send({"type": "http.response.body", "body": body})


def classify(scope: Any) -> RequestSpec:
    """Return how the request is managed."""
    budget = header(scope, b"x-budget")
    return RequestSpec(
        header(scope, b"x-class"),
        "cusco",
        budget_ms=float(budget or 0),
        idempotency_key=header(scope, b"idempotency-key"),
    )


async def application_with_lifespan(scope: Any, receive: Any, send: Any) -> None:
    """Serve requests; the lifespan lasts until the process ends."""
    if scope["type"] == "lifespan":
        await receive()
    else:
        await application(scope, receive, send)


async def no_event() -> Any:
    """Wait for an event of the lifespan that does not come."""
    await asyncio.get_running_loop().create_future()


async def ignore(_message: Any) -> None:
    """Take what the application says about its lifespan."""


async def serve_connection(app: Any, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve one call."""
    try:
        method, path, _ = (await reader.readline()).decode().split()
        headers: list[tuple[bytes, bytes]] = []
        while (line := (await reader.readline()).strip()):
            name, _, value = line.partition(b":")
            headers.append((name.strip().lower(), value.strip()))
        scope = {
            "type": "http",
            "asgi": {"version": "3.0"},
            "http_version": "1.1",
            "method": method,
            "scheme": "http",
            "path": path,
            "raw_path": path.encode(),
            "query_string": b"",
            "root_path": "",
            "headers": headers,
            "client": None,
            "server": None,
        }
        body_read = False

        async def receive() -> Any:
            nonlocal body_read
            if not body_read:
                body_read = True
                return {"type": "http.request", "body": b"", "more_body": False}
            await reader.read()
            return {"type": "http.disconnect"}

        async def send(message: Any) -> None:
            if message["type"] == "http.response.start":
                writer.write(b"HTTP/1.1 %d X\r\nconnection: close\r\n" % message["status"])
                for name, value in message["headers"]:
                    writer.write(name + b": " + value + b"\r\n")
                writer.write(b"\r\n")
            else:
                writer.write(message.get("body", b""))
                await writer.drain()

        await app(scope, receive, send)
    except (ConnectionError, ValueError):
        pass
    finally:
        writer.close()


async def main() -> None:
    """Join the fleet and serve until the process is killed."""
    settings = parse_settings(json.loads(Path(os.environ["SETTINGS"]).read_text()))
    engines = [api.Endpoint(f"motor-{i}", "sala-lima", "nodo-a", 0, api.Phase.UP) for i in (1, 2)]
    # How long the client still waits may change from one try to the next.
    members = Members(os.environ["FLEET"], os.environ["MEMBER"], PASSING | {b"x-budget"})
    app = WorkloadMiddleware(application_with_lifespan, settings, engines, classify, fleet=members)
    lifespan = asyncio.ensure_future(app({"type": "lifespan"}, no_event, ignore))
    server = await asyncio.start_server(
        lambda reader, writer: serve_connection(app, reader, writer), "127.0.0.1", 0
    )
    print(f"listens on 127.0.0.1:{server.sockets[0].getsockname()[1]}", file=sys.stderr, flush=True)
    await asyncio.gather(server.serve_forever(), lifespan)


if __name__ == "__main__":
    asyncio.run(main())
