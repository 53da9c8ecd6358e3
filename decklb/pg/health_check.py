"""Health checks over PostgreSQL: a Sync on a dedicated session, answered by ReadyForQuery. No statement runs.

See `decklb.wire.health_check`.
"""

from __future__ import annotations

from decklb.pg import messages as pg
from decklb.pg.errors import PgError
from decklb.pg.messages import BackendType
from decklb.wire.health_check import Address, HealthCheckConnection, HealthChecker

MAX_MESSAGE_BYTES = 1 << 16  # sufficient: an idle session sends only parameters, notices and errors


class PgHealthCheckConnection(HealthCheckConnection):
    """A dedicated session at an engine for health checks."""

    def __init__(self, startup: dict[str, str], checker: HealthChecker, engine: str, address: Address) -> None:
        """`startup`: parameters of the session, including user and database."""
        super().__init__(checker, engine, address)
        self._startup = startup
        self._reader = pg.MessageReader(MAX_MESSAGE_BYTES, startup=False)

    def start_session(self) -> None:
        """Send the startup message; checks may be sent after the first ReadyForQuery."""
        self.transport.write(pg.pack_startup(self._startup | {"application_name": "decklb probe"}))

    def send_check(self) -> None:
        """Send a Sync, the smallest message that an engine answers."""
        self.transport.write(pg.SYNC)

    def dataReceived(self, data: bytes) -> None:
        """Handle a chunk of the byte stream, which may contain any part of a message."""
        try:
            for message in self._reader.feed(data):
                if self.closed:
                    return
                self._handle(message)
        except PgError as error:
            self.fail(f"protocol: {error}")

    def _handle(self, message: pg.Message) -> None:
        if message.type == BackendType.READY_FOR_QUERY and not self.ready:
            self.session_ready()
        elif message.type == BackendType.READY_FOR_QUERY:
            self.check_succeeded()
        elif message.type == BackendType.ERROR_RESPONSE:
            self.fail(f"error-{pg.read_error(message.payload).get('C', '')}")
        elif message.type == BackendType.AUTHENTICATION and message.payload != pg.AUTHENTICATION_OK_PAYLOAD:
            self.fail("authentication-requested")
