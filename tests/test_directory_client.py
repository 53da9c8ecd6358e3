"""The directory client on a simulated clock: which lists it keeps, how often it polls, what it logs."""

import random
import struct

import pytest
from loguru import logger
from test_dispatcher import TestClock

from decklb.net import dns
from decklb.net.directory_client import DirectoryClient
from decklb.net.poll_schedule import MAX_WAIT_MS, POLL_INTERVAL_MS, QUERY_TIMEOUT_MS, PollSchedule
from tests.dns_answers import name, record, reply

CHANGE_BINDING_MS = 1500.0  # ms after which a change is binding, whether received or not (the platform's protocol)


def empty_answer(query_id, serial):
    """Return a complete answer without engines."""
    soa = record(b"\xc0\x0c", dns.SOA, name("ns") + name("me") + struct.pack(">5I", serial, 0, 0, 0, 0))
    question = name("_api._tcp.svc.local") + struct.pack(">HH", dns.SRV, 1)
    return dns.HEADER.pack(query_id, 0x8400, 1, 1, 0, 0) + question + soa


class PolledDirectory:
    """A directory client whose queries are recorded with the time of their sending."""

    def __init__(self, seed=1, serial=40):
        self.clock, self.lists, self.queries = TestClock(), [], []
        self.directory = DirectoryClient(
            self.clock,
            ("127.0.0.1", 53),
            random.Random(seed).randrange,
            lambda entries, _: self.lists.append([e.engine_id for e in entries]),
        )
        instance = {
            "instanceId": "s-0",
            "hostPort": "127.0.0.1:1",
            "zone": "z",
            "machineType": "k",
            "lifecycle": "Ready",
        }
        self.directory.load_updates(serial, [{"endpoints": {"instances": [instance]}}])
        self.directory.transport = self
        self.directory.startProtocol()

    def write(self, data, _):
        self.queries.append((self.clock.now(), struct.unpack_from(">H", data)[0]))

    def answer(self, make=reply):
        self.directory.datagramReceived(make(query_id=self.queries[-1][1]), None)

    def intervals(self):
        times = [at for at, _ in self.queries]
        return [b - a for a, b in zip(times, times[1:], strict=False)]


@pytest.fixture
def log():
    lines = []
    sink = logger.add(lambda m: lines.append(m.record["extra"].get("event")), level="INFO")
    yield lines
    logger.remove(sink)


def test_a_directory_that_answers_is_polled_steadily_with_jitter():
    clients = [PolledDirectory(seed) for seed in range(20)]
    for polled in clients:
        for _ in range(400):
            if polled.directory.query_id is not None:
                polled.answer()
            polled.clock.advance(10)
        assert (
            max(polled.intervals()) <= 1.2 * POLL_INTERVAL_MS + 11
            and min(polled.intervals()) >= 0.8 * POLL_INTERVAL_MS - 1
        )
    assert len({round(polled.queries[10][0]) for polled in clients}) > 10


def test_a_silent_directory_is_polled_with_bounded_backoff_and_steadily_after_recovery(log):
    polled = PolledDirectory()
    polled.clock.advance(60_000)
    intervals = polled.intervals()
    assert intervals[0] < intervals[1] < intervals[2] and max(intervals) <= MAX_WAIT_MS + 1 < CHANGE_BINDING_MS
    assert len(polled.queries) < 80  # 150 a minute without backoff
    assert log.count("directory-timeout") == 1 and polled.lists == [["s-0"]]
    query_count = len(polled.queries)
    polled.answer()
    assert polled.lists[-1] == ["s-1"] and log.count("directory-recovered") == 1
    polled.clock.advance(1.2 * POLL_INTERVAL_MS + 2)
    assert len(polled.queries) == query_count + 1


def test_a_query_waits_no_longer_than_a_fraction_of_the_drain_grace():
    """A directory that is back after an outage may list drains whose grace is nearly over."""
    for grace_ms in (0.0, 1000.0, 2000.0, 60_000.0):
        schedule = PollSchedule(random.Random(1).randrange, grace_ms)
        waits = []
        for _ in range(30):
            waits.append(schedule.query_timeout())
            schedule.query_failed()
        assert max(waits) <= (min(MAX_WAIT_MS, max(QUERY_TIMEOUT_MS, grace_ms / 4)) if grace_ms else MAX_WAIT_MS)


@pytest.mark.parametrize(
    ("event", "make"),
    [
        ("directory-answer-invalid", lambda query_id: reply(query_id=query_id)[:-3]),
        ("directory-answer-invalid", lambda query_id: reply(query_id=query_id, flags=0x8600)),
        ("directory-answer-invalid", lambda query_id: reply(query_id=query_id, flags=0x8402)),
        ("directory-answer-invalid", lambda query_id: reply(query_id=query_id, records=2)),
        ("directory-answer-invalid", lambda query_id: b""),
        ("directory-answer-stale", lambda query_id: empty_answer(query_id, 39)),
    ],
)
def test_an_invalid_or_stale_answer_changes_nothing_and_is_logged_once(log, event, make):
    polled = PolledDirectory()
    for _ in range(10):
        polled.answer(make)
        polled.clock.advance(MAX_WAIT_MS)
    assert polled.lists == [["s-0"]] and log.count(event) == 1 and len(polled.queries) > 8
    polled.answer()
    polled.answer()  # a repeated answer
    assert polled.lists == [["s-0"], ["s-1"]]


def test_an_answer_to_another_query_is_ignored(log):
    polled = PolledDirectory()
    earlier_id = polled.queries[-1][1]
    polled.clock.advance(700)
    assert polled.queries[-1][1] != earlier_id
    polled.directory.datagramReceived(reply(query_id=earlier_id), None)
    assert polled.lists == [["s-0"]]


def test_after_a_change_of_resolver_answers_of_the_old_one_are_ignored():
    polled = PolledDirectory()
    _, old_id = polled.queries[-1]
    polled.directory.change_resolver(("127.0.0.1", 54))
    assert len(polled.queries) == 2  # queried at once
    polled.directory.datagramReceived(reply(query_id=old_id), None)
    assert polled.lists == [["s-0"]]
    polled.answer()
    assert polled.lists[-1] == ["s-1"]


def test_a_newer_empty_list_is_applied():
    """Guards against attempts at removed engines, even if all engines were removed."""
    polled = PolledDirectory()
    polled.answer(lambda query_id: empty_answer(query_id, 41))
    assert polled.lists[-1] == []


def test_a_refused_query_is_logged_once_and_sent_again(log):
    polled = PolledDirectory()
    for _ in range(5):
        polled.directory.connectionRefused()
        polled.clock.advance(MAX_WAIT_MS)
    assert log.count("directory-refused") == 1 and len(polled.queries) > 4
