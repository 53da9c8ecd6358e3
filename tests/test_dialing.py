"""Failures to connect to an engine: errors of this machine are retried, since they are no evidence about the engine."""

from __future__ import annotations

import errno

import pytest
from test_dispatcher import TestClock
from twisted.internet.error import ConnectBindError, TimeoutError, getConnectError
from twisted.internet.protocol import Protocol
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from decklb.core.timers import STALL_THRESHOLD_MS
from decklb.wire.dialing import REDIAL_DELAY_MS, Dial

TIMEOUT_MS = 250.0
NO_DESCRIPTOR = ConnectBindError(errno.EMFILE, "no descriptor")
NO_FREE_PORT = getConnectError((errno.EADDRNOTAVAIL, "no port"))
REFUSED = getConnectError((errno.ECONNREFUSED, "refused"))


class DialedConnection:
    """A `Dial` whose tries fail or succeed when the test specifies it."""

    def __init__(self):
        self.reactor, self.clock, self.protocol, self.failures = MemoryReactorClock(), TestClock(), Protocol(), []
        self.dial = Dial(
            self.reactor,
            self.clock,
            ("127.0.0.1", 1),
            self.protocol,
            TIMEOUT_MS,
            lambda reason: self.failures.append(reason.type),
        )

    def fail_try(self, error):
        self.reactor.tcpClients.pop(0)[2].clientConnectionFailed(None, Failure(error))

    def succeed_try(self):
        self.reactor.tcpClients.pop(0)[2].buildProtocol(None).makeConnection(StringTransport())

    def pending_tries(self):
        return len(self.reactor.tcpClients)


@pytest.mark.parametrize("error", [NO_DESCRIPTOR, NO_FREE_PORT])
def test_a_local_error_is_retried_until_the_connection_comes_up(error):
    dialed = DialedConnection()
    dialed.fail_try(error)
    dialed.clock.advance(REDIAL_DELAY_MS - 1)
    assert (dialed.pending_tries(), dialed.failures) == (0, [])
    dialed.clock.advance(2)
    dialed.succeed_try()
    dialed.clock.advance(2 * TIMEOUT_MS)
    assert (dialed.protocol.connected, dialed.failures) == (1, [])


@pytest.mark.parametrize("error", [NO_DESCRIPTOR, NO_FREE_PORT])
def test_a_lasting_local_error_is_reported_once_at_the_time_out(error):
    dialed = DialedConnection()
    for _ in range(int(TIMEOUT_MS)):
        if dialed.pending_tries():
            dialed.fail_try(error)
        dialed.clock.advance(1)
    dialed.clock.advance(TIMEOUT_MS)
    assert dialed.failures == [type(error)]


def test_a_refusal_by_the_peer_is_reported_at_once():
    dialed = DialedConnection()
    dialed.fail_try(REFUSED)
    dialed.clock.advance(TIMEOUT_MS)
    assert (dialed.failures, dialed.pending_tries()) == ([type(REFUSED)], 0)


def test_a_missing_answer_is_a_time_out_even_after_a_local_error():
    dialed = DialedConnection()
    dialed.fail_try(NO_FREE_PORT)
    dialed.clock.advance(TIMEOUT_MS + 1)
    assert dialed.failures == [TimeoutError]


def test_after_a_stall_an_established_connection_is_noticed_before_the_time_out():
    dialed = DialedConnection()
    late = TIMEOUT_MS + STALL_THRESHOLD_MS + 1
    dialed.clock.call_later(late, dialed.succeed_try)  # read in the first pass after the stall
    dialed.clock.clock.advance(late / 1000)
    dialed.clock.advance(TIMEOUT_MS)
    assert (dialed.protocol.connected, dialed.failures) == (1, [])


def test_a_dial_cancelled_between_tries_is_reported_once():
    dialed = DialedConnection()
    dialed.fail_try(NO_FREE_PORT)
    dialed.dial.cancel()
    dialed.clock.advance(2 * TIMEOUT_MS)
    assert (len(dialed.failures), dialed.pending_tries()) == (1, 0)
