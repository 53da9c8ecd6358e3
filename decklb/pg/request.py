"""A statement of a PostgreSQL session, as a request to the dispatcher."""

from __future__ import annotations

from dataclasses import dataclass

from decklb.core.ports import IncomingRequest


@dataclass(slots=True)
class PgRequest(IncomingRequest):
    """A request with the protocol messages of its statement."""

    simple: bool = False  # sent with Query, otherwise with Parse, Bind and Execute
    parameter_types: bytes = b"\0\0"  # the rest of Parse after the statement: number of parameter types and their OIDs
    bind: bytes | None = None  # the rest of Bind after the names, unchanged; None: only describe the statement
    describe: bool = False  # also describe the portal
    execute: bool = True  # execute the portal

    def release(self) -> None:
        """Drop the statement and its parameters. See `IncomingRequest.release`."""
        IncomingRequest.release(self)
        self.bind = None
