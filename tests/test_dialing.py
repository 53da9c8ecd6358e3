"""Connections to engines that don't come up: this machine's own faults are passing and tell nothing of an engine."""

from __future__ import annotations

import errno

import pytest
from test_dispatcher import TestClock
from twisted.internet.error import ConnectBindError, TimeoutError, getConnectError
from twisted.internet.protocol import Protocol
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from decklb.core.timers import HELD
from decklb.wire.dialing import REDIAL_DELAY_MS, Dial

TIMEOUT = 250.0
EMFILE = ConnectBindError(errno.EMFILE, "no descriptor")
BUSY = getConnectError((errno.EADDRNOTAVAIL, "no port"))
REFUSED = getConnectError((errno.ECONNREFUSED, "refused"))


class DialedConnection:
    """A dial whose tries fail or come up when the test says so."""

    def __init__(self):
        self.reactor, self.clock, self.protocol, self.refused = MemoryReactorClock(), TestClock(), Protocol(), []
        self.dial = Dial(
            self.reactor,
            self.clock,
            ("127.0.0.1", 1),
            self.protocol,
            TIMEOUT,
            lambda reason: self.refused.append(reason.type),
        )

    def fail_try(self, error):
        self.reactor.tcpClients.pop(0)[2].clientConnectionFailed(None, Failure(error))

    def come_up(self):
        self.reactor.tcpClients.pop(0)[2].buildProtocol(None).makeConnection(StringTransport())

    def tries(self):
        return len(self.reactor.tcpClients)


@pytest.mark.parametrize("error", [EMFILE, BUSY])
def test_a_local_error_is_retried_until_the_connection_comes_up(error):
    dialed = DialedConnection()
    dialed.fail_try(error)
    dialed.clock.go(REDIAL_DELAY_MS - 1)
    assert (dialed.tries(), dialed.refused) == (0, [])
    dialed.clock.go(2)
    dialed.come_up()
    dialed.clock.go(2 * TIMEOUT)
    assert (dialed.protocol.connected, dialed.refused) == (1, [])


@pytest.mark.parametrize("error", [EMFILE, BUSY])
def test_a_lasting_local_error_is_reported_once_at_the_time_out(error):
    dialed = DialedConnection()
    for _ in range(int(TIMEOUT)):
        if dialed.tries():
            dialed.fail_try(error)
        dialed.clock.go(1)
    dialed.clock.go(TIMEOUT)
    assert dialed.refused == [type(error)]


def test_a_refusal_by_the_peer_is_reported_at_once():
    dialed = DialedConnection()
    dialed.fail_try(REFUSED)
    dialed.clock.go(TIMEOUT)
    assert (dialed.refused, dialed.tries()) == ([type(REFUSED)], 0)


def test_silence_is_a_time_out_even_after_a_local_error():
    dialed = DialedConnection()
    dialed.fail_try(BUSY)
    dialed.clock.go(TIMEOUT + 1)
    assert dialed.refused == [TimeoutError]


def test_after_a_stall_a_connection_that_came_up_is_read_before_the_time_out():
    dialed = DialedConnection()
    late = TIMEOUT + HELD + 1
    dialed.clock.call_later(late, dialed.come_up)  # read in the first pass after the standstill
    dialed.clock.clock.advance(late / 1000)
    dialed.clock.go(TIMEOUT)
    assert (dialed.protocol.connected, dialed.refused) == (1, [])


def test_a_dial_cancelled_between_tries_is_reported_once():
    dialed = DialedConnection()
    dialed.fail_try(BUSY)
    dialed.dial.cancel()
    dialed.clock.go(2 * TIMEOUT)
    assert (len(dialed.refused), dialed.tries()) == (1, 0)
