"""Health checks over RESP: `ping TAG`, answered by `well` with the same tag. See `decklb.wire.health_check`."""

from __future__ import annotations

from decklb.net import engine_protocol, resp
from decklb.wire.health_check import Address, HealthCheckConnection, HealthChecker


class RespHealthCheckConnection(HealthCheckConnection):
    """A connection to a RESP engine for health checks only."""

    def __init__(self, checker: HealthChecker, engine: str, address: Address) -> None:
        super().__init__(checker, engine, address)
        self._reader = resp.RespReader()
        self._tag = 0  # of the last check; unique, so that a late reply does not answer the next check

    def send_check(self) -> None:
        """Send a ping with a new tag."""
        self._tag += 1
        self.transport.write(resp.pack(engine_protocol.PING, b"%016x" % self._tag))

    def dataReceived(self, data: bytes) -> None:
        """Handle received bytes: replies; those to other checks are ignored."""
        try:
            for array in self._reader.feed(data):
                answers_last_check = array[:2] == [b"%016x" % self._tag, engine_protocol.PONG]
                if answers_last_check and self.check_pending:
                    self.check_succeeded()
        except resp.RespError as error:
            self.fail(f"protocol: {error}")
