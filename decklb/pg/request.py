"""A statement of a PostgreSQL session as a request to the dispatcher."""

from __future__ import annotations

from dataclasses import dataclass

from decklb.core.ports import IncomingRequest


@dataclass(slots=True)
class PgRequest(IncomingRequest):
    """A statement as a session has it."""

    simple: bool = False  # sent by Query; otherwise by Parse, Bind and Execute
    types: bytes = b"\0\0"  # what follows the statement in Parse: the parameters' types
    bind: bytes | None = None  # what follows the names in Bind, as it came; None: only describe the statement
    describe: bool = False  # describe the portal too
    execute: bool = True  # execute the portal
