"""Answers to operators over a local Unix socket: one JSON object a line, asked and answered.

A question is `{"decklb":1,"ask":"members"}`; the answer has `decklb` (the format's version), `ok`, and `answer` or
`error`. The socket is readable by its owner alone. Orders change something, and are answered once it is settled.
"""

from __future__ import annotations

import os
import socket
from collections.abc import Callable
from typing import Any

import ujson
from loguru import logger
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.protocols.basic import LineOnlyReceiver
from twisted.python.failure import Failure

VERSION = 1
MOST_LINE = 4096  # bytes of a question
MOST_CONNECTIONS = 8
WAIT = 10.0  # seconds that a client of the socket waits

Answers = dict[str, Callable[[], Any]]
Orders = dict[str, Callable[[dict[str, Any]], Deferred[Any]]]  # given the whole question; raise or fail with ValueError


class Control(LineOnlyReceiver):
    """One operator's connection."""

    delimiter = b"\n"
    MAX_LENGTH = MOST_LINE
    transport: Any

    def __init__(self, factory: ControlFactory) -> None:
        self.owner = factory
        self.asked, self.reason = 0, "peer-closed"

    def connectionMade(self) -> None:
        """Turn away those beyond the bound."""
        self.owner.connections += 1
        if self.owner.connections > MOST_CONNECTIONS:
            self.reason = "too-many"
            self.transport.loseConnection()

    def lineReceived(self, line: bytes) -> None:
        """One question."""
        self.asked += 1
        found = self.owner.answer(line)
        if isinstance(found, Deferred):
            found.addCallback(self._say)
        else:
            self._say(found)

    def _say(self, answer: dict[str, Any]) -> None:
        if self.reason == "peer-closed":  # it may have gone while an order was settled
            self.transport.write(ujson.dumps(answer).encode() + b"\n")

    def lineLengthExceeded(self, line: bytes) -> Any:
        """No question is so long."""
        self.reason = "too-long"
        return self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """One line in the log."""
        self.owner.connections -= 1
        logger.info(
            "control connection ended: {reason} questions={questions}",
            event="control-connection-ended",
            reason=self.reason,
            questions=self.asked,
        )


class ControlFactory(ServerFactory):
    """What may be asked, and who answers."""

    noisy = False

    def __init__(self, answers: Answers, orders: Orders | None = None) -> None:
        self.answers, self.orders = answers, orders or {}
        self.connections = 0

    def buildProtocol(self, addr: Any) -> Control:
        """A connection."""
        return Control(self)

    def answer(self, line: bytes) -> dict[str, Any] | Deferred[dict[str, Any]]:
        """The answer to one line; faults are told, never raised."""
        made: dict[str, Any] = {"decklb": VERSION, "ok": False}
        try:
            asked = ujson.loads(line)
        except ValueError:
            return made | {"error": "not JSON"}
        if not isinstance(asked, dict) or asked.get("decklb") != VERSION:
            return made | {"error": f"this program speaks version {VERSION}"}
        what = str(asked.get("ask"))
        if what in self.orders:
            return maybeDeferred(self.orders[what], asked).addCallbacks(
                lambda answer: made | {"ok": True, "answer": answer}, lambda failure: made | {"error": _why(failure)}
            )
        answer = self.answers.get(what)
        if answer is None:
            return made | {"error": f"ask one of {', '.join(sorted([*self.answers, *self.orders]))}"}
        return made | {"ok": True, "answer": answer()}


def _why(failure: Failure) -> str:
    """An order that can't be taken says so; anything else is a fault of the program."""
    if not isinstance(failure.value, ValueError):
        logger.error("order failed: {fault}", event="order-failed", fault=failure.getTraceback())
    return failure.getErrorMessage()


def listen(reactor: Any, path: str, answers: Answers, orders: Orders | None = None) -> Any:
    """Open the socket; one that a dead process left is replaced, one that answers is not. Raises OSError."""
    if os.path.exists(path):
        with socket.socket(socket.AF_UNIX) as probe:
            if probe.connect_ex(path) == 0:
                raise OSError(f"{path}: another process answers there")
        os.unlink(path)
    return reactor.listenUNIX(path, ControlFactory(answers, orders), mode=0o600)


class ControlError(Exception):
    """A running instance can't be asked."""


def ask(path: str, what: str, **more: Any) -> Any:
    """Ask a running instance, from another process, or give it an order. Raises ControlError."""
    try:
        with socket.socket(socket.AF_UNIX) as link:
            link.settimeout(WAIT)
            link.connect(path)
            link.sendall(ujson.dumps({"decklb": VERSION, "ask": what} | more).encode() + b"\n")
            data = b""
            while not data.endswith(b"\n"):
                part = link.recv(65536)
                if not part:
                    break
                data += part
    except OSError as error:
        raise ControlError(f"{path}: {error}") from error
    try:
        found = ujson.loads(data)
    except ValueError as error:
        raise ControlError(f"{path}: the answer is not JSON") from error
    if not found.get("ok"):
        raise ControlError(f"{path}: {found.get('error', 'no answer')}")
    return found["answer"]
