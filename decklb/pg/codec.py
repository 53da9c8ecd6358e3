"""How statements are written down for another manager of this front."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from decklb.core.ports import Work
from decklb.pg.engines import PgWork


class _Written(msgspec.Struct, array_like=True, frozen=True):
    lane: str
    tenant: str
    statement: bytes
    tables: int
    key: str | None
    simple: bool
    types: bytes
    bind: bytes | None
    describe: bool
    execute: bool


class PgCodec:
    """See `decklb.handoff.protected_dispatcher.RequestCodec`. `rid` draws names for the log."""

    def __init__(self, rid: Callable[[], str]) -> None:
        self.rid = rid

    def encode(self, work: Work) -> bytes:
        """The same for the same statement, parameters and session settings that matter."""
        assert isinstance(work, PgWork)
        return msgspec.msgpack.encode(
            _Written(
                work.lane,
                work.tenant,
                work.statement,
                work.tables,
                work.key,
                work.simple,
                work.types,
                work.bind,
                work.describe,
                work.execute,
            )
        )

    def decode(self, body: bytes, budget: float) -> PgWork:
        """The statement again."""
        w = msgspec.msgpack.decode(body, type=_Written)
        return PgWork(
            self.rid(),
            w.lane,
            w.tenant,
            budget,
            w.statement,
            w.tables,
            w.key,
            simple=w.simple,
            types=w.types,
            bind=w.bind,
            describe=w.describe,
            execute=w.execute,
        )
