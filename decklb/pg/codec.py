"""Statements in the form in which another manager of this wire takes them over.

A MessagePack array, whose order of fields is part of the wire form. Used by the handoff
(as its `RequestCodec`).
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from decklb.core.ports import IncomingRequest
from decklb.pg.request import PgRequest


class _StatementRecord(msgspec.Struct, array_like=True, frozen=True):
    """See `PgRequest` for the fields. Its id and budget are left out: they are not the same at another manager."""

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
        """`new_request_id` draws ids for the log."""
        self._new_request_id = new_request_id

    def encode(self, work: IncomingRequest) -> bytes:
        """The same bytes for the same statement, parameters and session settings that matter."""
        assert isinstance(work, PgRequest)
        record = _StatementRecord(
            request_class=work.request_class,
            tenant=work.tenant,
            statement=work.statement,
            table_group=work.table_group,
            ordering_key=work.ordering_key,
            simple=work.simple,
            parameter_types=work.types,
            bind=work.bind,
            describe=work.describe,
            execute=work.execute,
        )
        return msgspec.msgpack.encode(record)

    def decode(self, body: bytes, budget: float) -> PgRequest:
        """The statement again, with `budget` ms to run. Raises msgspec.DecodeError for other bytes."""
        record = msgspec.msgpack.decode(body, type=_StatementRecord)
        return PgRequest(
            self._new_request_id(),
            record.request_class,
            record.tenant,
            budget,
            record.statement,
            record.table_group,
            record.ordering_key,
            simple=record.simple,
            types=record.parameter_types,
            bind=record.bind,
            describe=record.describe,
            execute=record.execute,
        )
