"""Encoding of requests and responses for a takeover by another process of the application.

The encodings are MessagePack arrays; the order of their fields is part of the wire format. Used by the handoff (as its
`RequestCodec`) and by `decklb.middleware.middleware`.
"""

from __future__ import annotations

import msgspec

from decklb.core.ports import IncomingRequest
from decklb.middleware.asgi import Message, Scope
from decklb.middleware.requests import AsgiRequest

# The parts of a scope that are valid in another process. The others (state, extensions, sockets) are local.
TEXT_SCOPE_KEYS = ("http_version", "method", "scheme", "path", "root_path")
BYTES_SCOPE_KEYS = ("raw_path", "query_string")
ASGI_VERSION = "3.0"
TAKEOVER_REQUEST_ID = "taken-over"  # request id in the log for requests received from another process


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
        """`ignored_headers`: lower-case names of headers that may differ between retries of a request."""
        self._ignored_headers = ignored_headers

    def encode(self, request: IncomingRequest) -> bytes:
        """Encode a request. Equal requests give equal bytes."""
        assert isinstance(request, AsgiRequest)
        scope = request.scope
        record = _RequestRecord(
            request_class=request.request_class,
            tenant=request.tenant,
            table_group=request.table_group,
            ordering_key=request.ordering_key,
            text_scope={key: str(scope[key]) for key in TEXT_SCOPE_KEYS if scope.get(key) is not None},
            bytes_scope={key: bytes(scope[key]) for key in BYTES_SCOPE_KEYS if scope.get(key) is not None},
            headers=[
                (bytes(name), bytes(value))
                for name, value in scope.get("headers", ())
                if bytes(name).lower() not in self._ignored_headers
            ],
            body=request.statement,
        )
        return msgspec.msgpack.encode(record)

    def decode(self, body: bytes, budget_ms: float) -> AsgiRequest:
        """Decode a request and give it a budget of `budget_ms`; its scope has no client and no server."""
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
        return AsgiRequest(
            TAKEOVER_REQUEST_ID,
            record.request_class,
            record.tenant,
            budget_ms,
            record.body,
            record.table_group,
            record.ordering_key,
            scope=scope,
        )

    def encode_response(self, messages: list[Message]) -> bytes:
        """Encode a complete response."""
        start, *parts = messages
        record = _ResponseRecord(
            status=int(start["status"]),
            headers=[(bytes(name), bytes(value)) for name, value in start.get("headers", ())],
            body=b"".join(part.get("body", b"") for part in parts),
        )
        return msgspec.msgpack.encode(record)

    def decode_response(self, encoded: bytes) -> list[Message]:
        """Decode a response into its messages, with the body in one message."""
        record = msgspec.msgpack.decode(encoded, type=_ResponseRecord)
        return [
            {"type": "http.response.start", "status": record.status, "headers": record.headers},
            {"type": "http.response.body", "body": record.body},
        ]
