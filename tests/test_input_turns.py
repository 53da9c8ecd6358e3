"""The order and the budget of turns in which the input of connections is handled."""

from __future__ import annotations

import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st
from test_dispatcher import TestClock
from test_memory_pressure import Front, answers, message_types

from decklb.core.fair_turns import MAX_SPARSE_IN_A_ROW, FairTurns, Turn
from decklb.core.memory_account import LARGE_IN_FLIGHT_BYTES
from decklb.net import frames
from decklb.net.client_connection import MAX_INPUT_WAIT_MS, MAX_INVALID_FRAMES, MAX_INVALID_REQUESTS
from decklb.pg import messages as pg
from decklb.wire.input_turns import PARTS_PER_PASS, PASS_BUDGET_MS, InputTurns
from tests.frame_standins import request


@given(st.lists(st.integers(1, 30), min_size=2, max_size=8), st.integers(1, 200))
def test_connections_that_always_wait_get_equal_shares_of_the_time(costs, rounds):
    turns, used = FairTurns(), [0.0] * len(costs)
    waiting = [Turn(number) for number in range(len(costs))]
    for turn in waiting:
        turns.add(turn)
    for _ in range(rounds * len(costs)):
        turn = turns.next()
        turns.end(turn, costs[turn.owner])
        used[turn.owner] += costs[turn.owner]
        turns.add(turn)
    assert max(used) - min(used) <= 2 * max(costs)


@given(st.integers(2, 50), st.integers(1, 100))
def test_who_has_used_little_comes_before_all_that_wait(floods, rounds):
    turns = FairTurns()
    usual = Turn("usual")
    for number in range(floods):
        turns.add(Turn(number))
    for _ in range(rounds):
        turn = turns.next()
        turns.end(turn, 1.0)
        turns.add(turn)
    turns.add(usual)
    passed_by = 0
    while (turn := turns.next()) is not usual:
        passed_by += 1
        turns.end(turn, 1.0)
        turns.add(turn)
    assert passed_by <= floods - rounds % floods  # those that have not had the current round


@given(st.integers(1, 60), st.integers(1, 60))
def test_sparse_connections_come_first_but_keep_nobody_from_a_turn(floods, sparse):
    turns, order = FairTurns(), []
    for number in range(floods):
        turns.add(Turn(f"flood {number}"))
    for number in range(sparse):
        turns.add_sparse(Turn(f"sparse {number}"))
    while turns:
        turn = turns.next()
        turns.end(turn, 1.0)
        order.append(turn.owner.split()[0])
    last = max(position for position, owner in enumerate(order) if owner == "sparse")
    assert last <= sparse + sparse // MAX_SPARSE_IN_A_ROW
    assert "flood" in order[: MAX_SPARSE_IN_A_ROW + 1]
    assert len(order) == floods + sparse


class Connection:
    """A connection with a number of messages, each of which takes some ms."""

    def __init__(self, clock, log, name, messages, cost_ms):
        self.clock, self.log, self.name, self.messages, self.cost_ms = clock, log, name, messages, cost_ms
        self.turn, self.paused, self.is_receiving_large = Turn(self), False, False
        self.handled_bytes = 0
        self.resumed = []  # names of the connections that are read on, in order

    def handle_next(self):
        if not self.messages:
            return False
        self.messages -= 1
        self.clock.clock.rightNow += self.cost_ms / 1000
        self.log.append(self.name)
        return bool(self.messages)

    def input_handled(self, waiting):
        self.paused = waiting
        if not waiting:
            self.resumed.append(self.name)


def test_a_connection_beyond_the_budget_is_paused_and_others_come_first():
    clock, log = TestClock(), []
    turns = InputTurns(clock)
    flood = Connection(clock, log, "flood", 50, 0.5)
    usual = Connection(clock, log, "usual", 1, 0.5)
    turns.received(flood)
    assert flood.paused
    assert len(log) <= PASS_BUDGET_MS / 0.5 + 1
    turns.received(usual)
    clock.clock.advance(0)
    assert "usual" in log[:8]
    while flood.messages:
        clock.clock.advance(0)
    clock.clock.advance(0)
    assert not flood.paused
    assert log.count("flood") == 50
    assert turns.cut_short > 0


def test_a_stall_in_the_turn_of_a_connection_does_not_keep_it_waiting_afterwards():
    clock, log = TestClock(), []
    turns = InputTurns(clock)
    floods = [Connection(clock, log, "flood", 500, 0.3) for _ in range(20)]
    usual = Connection(clock, log, "usual", 1, 500.0)
    turns.received(usual)
    for flood in floods:
        turns.received(flood)
    usual.messages, usual.cost_ms = 1, 0.3
    turns.received(usual)
    del log[:]
    clock.clock.advance(0)
    assert log.index("usual") < 4 * len(floods)


def test_of_many_large_messages_the_first_are_received_first():
    clock, resumed = TestClock(), []
    turns = InputTurns(clock)
    connections = [Connection(clock, [], number, 0, 0) for number in range(3 * PARTS_PER_PASS)]
    for connection in connections:
        connection.is_receiving_large, connection.resumed = True, resumed
        turns.received(connection)
    assert [c.name for c in connections if not c.paused] == list(range(PARTS_PER_PASS))
    for connection in reversed(connections[:PARTS_PER_PASS]):
        turns.received(connection)
    assert all(connection.paused for connection in connections)
    resumed.clear()
    clock.clock.advance(0)
    assert resumed == list(range(3 * PARTS_PER_PASS))


def test_large_messages_wait_while_many_bytes_of_large_requests_are_in_flight():
    front = Front(limit=1 << 30)
    client = front.connect()
    size, count = 200_000, LARGE_IN_FLIGHT_BYTES // 200_000 + 1
    for stream in range(1, count + 1):
        client.dataReceived(request(stream, b"x" * size))
    data = request(count + 1, b"x" * size)
    client.dataReceived(data[:100_000])
    client.dataReceived(data[100_000:150_000])
    assert client.transport.reading is False
    front.end_attempts()
    assert client.transport.reading
    client.dataReceived(data[150_000:])
    front.end_attempts()
    assert answers(client) == [(stream, frames.SERVED) for stream in range(1, count + 2)]


def test_cancels_of_streams_without_request_are_told_and_end_the_connection():
    front = Front()
    client = front.connect()
    client.dataReceived(request(1, b"x"))
    front.end_attempts()
    client.dataReceived(frames.pack(frames.CANCEL, 1))  # crossed its answer
    assert answers(client) == [(1, frames.SERVED)]
    client.dataReceived(b"".join(frames.pack(frames.CANCEL, stream) for stream in range(2, 3 + MAX_INVALID_FRAMES)))
    assert client.close_reason == "unknown-stream"


def test_invalid_requests_without_end_close_the_connection():
    front = Front()
    client = front.connect()
    for stream in range(1, MAX_INVALID_REQUESTS + 2):
        assert client.close_reason == ""
        client.dataReceived(request(stream, b"x", method="none"))
        client.resumeProducing()
        front.clock.advance(1)
    assert client.close_reason == "invalid-requests"


def test_a_request_that_waited_too_long_for_its_turn_is_rejected_unread():
    front = Front()
    client = front.connect()
    front.listener.turns._spent_ms = 2 * PASS_BUDGET_MS  # this pass has no budget left
    front.listener.turns._pass_began_ms = front.clock.now()
    client.dataReceived(request(1, b"x"))
    assert not client.transport.reading
    front.clock.clock.rightNow += (MAX_INPUT_WAIT_MS + 1) / 1000
    front.clock.advance(1)
    assert answers(client) == [(1, frames.REJECTED)]
    assert client.transport.reading


def test_a_connection_whose_input_waits_is_neither_evicted_nor_timed_out():
    front = Front()
    client = front.connect()
    front.listener.turns._spent_ms = 2 * PASS_BUDGET_MS
    front.listener.turns._pass_began_ms = front.clock.now()
    client.dataReceived(request(1, b"x"))
    assert client.has_unread_input()
    assert not client.close("evicted-silent")
    front.end_attempts()
    assert answers(client) == [(1, frames.SERVED)]


def test_a_drain_ends_a_session_only_after_the_query_that_waits_for_its_turn():
    front = Front("postgres")
    session = front.session()
    turns = front.listener.turns
    turns._spent_ms, turns._pass_began_ms = 2 * PASS_BUDGET_MS, front.clock.now()
    session.dataReceived(pg.pack(b"Q", b"select 1\0"))
    front.listener.drain()
    front.end_attempts(result=pg.pack_command_complete("SELECT 0"))
    assert message_types(session) == "CZE"


@pytest.mark.parametrize("messages", [40, 200])
def test_the_messages_of_a_session_are_handled_in_order(messages):
    front = Front("postgres")
    session = front.session()
    session.dataReceived(pg.pack(b"Q", b"select 1\0") + pg.SYNC * messages)
    front.end_attempts(result=pg.pack_command_complete("SELECT 0"))
    front.clock.advance(50)
    assert message_types(session) == "C" + "Z" * (messages + 1)


def test_no_attempt_starts_for_a_client_whose_reset_lies_behind_unread_bytes():
    front = Front()
    client = front.connect()
    near, far = socket.socketpair()
    client.transport.fileno = near.fileno
    data = b"".join(request(stream, b"x" * 7000) for stream in range(1, 12))
    client.dataReceived(data)  # more than is read at once, so more may lie behind it
    far.close()
    front.clock.advance(50)
    assert front.engines.attempts == []
    assert front.dispatcher.open_requests == 0
    near.close()


@pytest.mark.parametrize("kind", ["platform", "postgres"])
def test_no_attempt_starts_for_a_client_that_left_while_its_input_waited_for_a_turn(kind):
    front = Front(kind)
    client = front.connect() if kind == "platform" else front.session()
    near, far = socket.socketpair()
    client.transport.fileno = near.fileno
    turns = front.listener.turns
    turns._spent_ms, turns._pass_began_ms = 2 * PASS_BUDGET_MS, front.clock.now()
    client.dataReceived(request(1, b"x") if kind == "platform" else pg.pack(b"Q", b"select 1\0"))
    assert not client.transport.reading
    far.close()
    front.clock.advance(50)
    assert client.transport.reading
    assert front.engines.attempts == []
    near.close()


def test_a_client_that_half_closes_with_nothing_unread_is_noticed_by_reading_only():
    front = Front()
    client = front.connect()
    client.dataReceived(request(1, b"x"))
    assert not client.client_has_left()
