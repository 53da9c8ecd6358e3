"""How requests and responses of an application are written down for another process of it."""

from __future__ import annotations

from typing import Any

import msgspec

from decklb.core.ports import Work
from decklb.middleware.asgi import AsgiWork, Message, Scope

# What of a scope means the same in another process. The rest (state, extensions, sockets) is its own process's.
TEXTS = ("http_version", "method", "scheme", "path", "root_path")
BYTES = ("raw_path", "query_string")


class _Written(msgspec.Struct, array_like=True, frozen=True):
    lane: str
    tenant: str
    tables: int
    key: str | None
    texts: dict[str, str]
    parts: dict[str, bytes]
    headers: list[tuple[bytes, bytes]]
    body: bytes


class _Response(msgspec.Struct, array_like=True, frozen=True):
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class AsgiCodec:
    """A `RequestCodec` of the handoff. Headers that differ from one sending to the next are left out."""

    def __init__(self, passing: frozenset[bytes]) -> None:
        """`passing`: names of headers, in small letters, that are no part of what a request asks."""
        self.passing = passing

    def encode(self, work: Work) -> bytes:
        """The same for the same request."""
        assert isinstance(work, AsgiWork)
        s = work.scope
        headers = [(bytes(k), bytes(v)) for k, v in s.get("headers", ()) if bytes(k).lower() not in self.passing]
        return msgspec.msgpack.encode(
            _Written(
                work.lane,
                work.tenant,
                work.tables,
                work.key,
                {k: str(s[k]) for k in TEXTS if s.get(k) is not None},
                {k: bytes(s[k]) for k in BYTES if s.get(k) is not None},
                headers,
                work.statement,
            )
        )

    def decode(self, body: bytes, budget: float) -> AsgiWork:
        """The request again; whoever was its client is not in the scope."""
        w = msgspec.msgpack.decode(body, type=_Written)
        scope: Scope = {
            "type": "http",
            "asgi": {"version": "3.0"},
            "client": None,
            "server": None,
            "headers": w.headers,
            **w.texts,
            **w.parts,
        }
        return AsgiWork("taken-over", w.lane, w.tenant, budget, w.body, w.tables, w.key, scope=scope)

    def response(self, messages: list[Message]) -> bytes:
        """A whole response."""
        start = messages[0]
        return msgspec.msgpack.encode(
            _Response(
                int(start["status"]),
                [(bytes(k), bytes(v)) for k, v in start.get("headers", ())],
                b"".join(m.get("body", b"") for m in messages[1:]),
            )
        )

    def messages(self, written: bytes) -> list[Message]:
        """It again."""
        r = msgspec.msgpack.decode(written, type=_Response)
        start: dict[str, Any] = {"type": "http.response.start", "status": r.status, "headers": r.headers}
        return [start, {"type": "http.response.body", "body": r.body}]
