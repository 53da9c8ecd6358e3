"""Requests and responses in the form in which another process of the application takes them over.

MessagePack arrays, whose order of fields is part of the wire form. Used by the handoff
(as its `RequestCodec`) and by `decklb.middleware.middleware`.
"""

from __future__ import annotations

import msgspec

from decklb.core.ports import IncomingRequest
from decklb.middleware.asgi import Message, Scope
from decklb.middleware.requests import AsgiWork

# What of a scope means the same in another process. The rest (state, extensions, sockets) is its own process's.
TEXT_SCOPE_KEYS = ("http_version", "method", "scheme", "path", "root_path")
BYTES_SCOPE_KEYS = ("raw_path", "query_string")
ASGI_VERSION = "3.0"
REQUEST_ID = "taken-over"  # in the log, of what another process has taken


class _RequestRecord(msgspec.Struct, array_like=True, frozen=True):
    request_class: str
    tenant: str
    table_group: int
    ordering_key: str | None
    text_scope: dict[str, str]
    bytes_scope: dict[str, bytes]
    headers: list[tuple[bytes, bytes]]
    body: bytes


class _ResponseRecord(msgspec.Struct, array_like=True, frozen=True):
    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class AsgiCodec:
    """Encodes and decodes requests and responses."""

    def __init__(self, ignored_headers: frozenset[bytes]) -> None:
        """`ignored_headers`: names, in lower case, of headers that may differ between retries of one request."""
        self._ignored_headers = ignored_headers

    def encode(self, work: IncomingRequest) -> bytes:
        """The same bytes for the same request."""
        assert isinstance(work, AsgiWork)
        scope = work.scope
        record = _RequestRecord(
            request_class=work.request_class,
            tenant=work.tenant,
            table_group=work.table_group,
            ordering_key=work.ordering_key,
            text_scope={key: str(scope[key]) for key in TEXT_SCOPE_KEYS if scope.get(key) is not None},
            bytes_scope={key: bytes(scope[key]) for key in BYTES_SCOPE_KEYS if scope.get(key) is not None},
            headers=[
                (bytes(name), bytes(value))
                for name, value in scope.get("headers", ())
                if bytes(name).lower() not in self._ignored_headers
            ],
            body=work.statement,
        )
        return msgspec.msgpack.encode(record)

    def decode(self, body: bytes, budget: float) -> AsgiWork:
        """The request again, with `budget` ms to run; its scope names no client and no server."""
        record = msgspec.msgpack.decode(body, type=_RequestRecord)
        scope: Scope = {
            "type": "http",
            "asgi": {"version": ASGI_VERSION},
            "client": None,
            "server": None,
            "headers": record.headers,
            **record.text_scope,
            **record.bytes_scope,
        }
        return AsgiWork(
            REQUEST_ID,
            record.request_class,
            record.tenant,
            budget,
            record.body,
            record.table_group,
            record.ordering_key,
            scope=scope,
        )

    def encode_response(self, messages: list[Message]) -> bytes:
        """The record of a complete response."""
        start, *parts = messages
        record = _ResponseRecord(
            status=int(start["status"]),
            headers=[(bytes(name), bytes(value)) for name, value in start.get("headers", ())],
            body=b"".join(part.get("body", b"") for part in parts),
        )
        return msgspec.msgpack.encode(record)

    def decode_response(self, encoded: bytes) -> list[Message]:
        """The messages of a response, its body in one part."""
        record = msgspec.msgpack.decode(encoded, type=_ResponseRecord)
        return [
            {"type": "http.response.start", "status": record.status, "headers": record.headers},
            {"type": "http.response.body", "body": record.body},
        ]
