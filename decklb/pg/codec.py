"""Encoding of statements for a takeover by another manager with a PostgreSQL front.

The encoding is a MessagePack array; the order of its fields is part of the wire format. The handoff uses it as its
`RequestCodec`.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from decklb.core.ports import IncomingRequest
from decklb.pg.request import PgRequest


class _StatementRecord(msgspec.Struct, array_like=True, frozen=True):
    """See `PgRequest` for the fields. Its id and budget are omitted, since they differ at another manager."""

    request_class: str
    tenant: str
    statement: bytes
    table_group: int
    ordering_key: str | None
    simple: bool
    parameter_types: bytes
    bind: bytes | None
    describe: bool
    execute: bool


class PgCodec:
    """Encodes and decodes statements."""

    def __init__(self, new_request_id: Callable[[], str]) -> None:
        """`new_request_id` generates the request ids that appear in the log."""
        self._new_request_id = new_request_id

    def encode(self, request: IncomingRequest) -> bytes:
        """Encode a statement. Equal statements, parameters and relevant session settings give equal bytes."""
        assert isinstance(request, PgRequest)
        record = _StatementRecord(
            request_class=request.request_class,
            tenant=request.tenant,
            statement=request.statement,
            table_group=request.table_group,
            ordering_key=request.ordering_key,
            simple=request.simple,
            parameter_types=request.parameter_types,
            bind=request.bind,
            describe=request.describe,
            execute=request.execute,
        )
        return msgspec.msgpack.encode(record)

    def decode(self, body: bytes, budget_ms: float) -> PgRequest:
        """Decode a statement and give it a budget of `budget_ms`. Raises msgspec.DecodeError for invalid bytes."""
        record = msgspec.msgpack.decode(body, type=_StatementRecord)
        return PgRequest(
            self._new_request_id(),
            record.request_class,
            record.tenant,
            budget_ms,
            record.statement,
            record.table_group,
            record.ordering_key,
            simple=record.simple,
            parameter_types=record.parameter_types,
            bind=record.bind,
            describe=record.describe,
            execute=record.execute,
        )
