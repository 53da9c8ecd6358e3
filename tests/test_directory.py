"""The directory client on a clock of its own: what it keeps, how often it asks, what it logs."""

import random
import struct

import pytest
from loguru import logger
from test_dispatcher import TestClock
from test_parsers import name, record, reply

from decklb.net import dns
from decklb.net.directory import Directory
from decklb.net.polling import MOST, POLL, TIMEOUT, Polling

NEWS_BINDS = 1500.0  # ms after which news counts as told, heard or not (the platform's protocol)


def empty(ident, serial):
    """A whole answer with no engine."""
    soa = record(b"\xc0\x0c", dns.SOA, name("ns") + name("me") + struct.pack(">5I", serial, 0, 0, 0, 0))
    question = name("_api._tcp.svc.local") + struct.pack(">HH", dns.SRV, 1)
    return dns.HEAD.pack(ident, 0x8400, 1, 1, 0, 0) + question + soa


class Wire:
    """A directory client whose questions are kept with the time they were asked."""

    def __init__(self, seed=1, known=40):
        self.clock, self.lists, self.asked = TestClock(), [], []
        self.directory = Directory(
            self.clock,
            ("127.0.0.1", 53),
            random.Random(seed).randrange,
            lambda entries, _: self.lists.append([e.engine for e in entries]),
        )
        instance = {
            "instanceId": "s-0",
            "hostPort": "127.0.0.1:1",
            "zone": "z",
            "machineType": "k",
            "lifecycle": "Ready",
        }
        self.directory.known(known, [{"endpoints": {"instances": [instance]}}])
        self.directory.transport = self
        self.directory.startProtocol()

    def write(self, data, _):
        self.asked.append((self.clock.now(), struct.unpack_from(">H", data)[0]))

    def answer(self, make=reply):
        self.directory.datagramReceived(make(ident=self.asked[-1][1]), None)

    def gaps(self):
        times = [at for at, _ in self.asked]
        return [b - a for a, b in zip(times, times[1:], strict=False)]


@pytest.fixture
def log():
    lines = []
    sink = logger.add(lambda m: lines.append(m.record["extra"].get("event")), level="INFO")
    yield lines
    logger.remove(sink)


def test_a_directory_that_answers_is_asked_steadily_and_no_two_clients_stay_in_step():
    wires = [Wire(seed) for seed in range(20)]
    for w in wires:
        for _ in range(400):
            if w.directory.ident is not None:
                w.answer()
            w.clock.go(10)
        assert max(w.gaps()) <= 1.2 * POLL + 11 and min(w.gaps()) >= 0.8 * POLL - 1
    assert len({round(w.asked[10][0]) for w in wires}) > 10


def test_a_silent_directory_is_asked_rarer_up_to_a_bound_within_which_news_binds_and_steadily_once_it_is_back(log):
    w = Wire()
    w.clock.go(60_000)
    gaps = w.gaps()
    assert gaps[0] < gaps[1] < gaps[2] and max(gaps) <= MOST + 1 < NEWS_BINDS
    assert len(w.asked) < 80  # it was 150 a minute
    assert log.count("directory-silent") == 1 and w.lists == [["s-0"]]
    questions = len(w.asked)
    w.answer()
    assert w.lists[-1] == ["s-1"] and log.count("directory-back") == 1
    w.clock.go(1.2 * POLL + 2)
    assert len(w.asked) == questions + 1


def test_a_question_never_waits_longer_than_a_part_of_the_grace_in_which_drains_bind():
    """A directory that is back after an outage may have news whose grace is nearly over."""
    for grace in (0.0, 1000.0, 2000.0, 60_000.0):
        polling = Polling(random.Random(1).randrange, grace)
        waits = []
        for _ in range(30):
            waits.append(polling.asked())
            polling.failed()
        assert max(waits) <= (min(MOST, max(TIMEOUT, grace / 4)) if grace else MOST)


@pytest.mark.parametrize(
    ("event", "make"),
    [
        ("directory-answer-dropped", lambda ident: reply(ident=ident)[:-3]),
        ("directory-answer-dropped", lambda ident: reply(ident=ident, flags=0x8600)),
        ("directory-answer-dropped", lambda ident: reply(ident=ident, flags=0x8402)),
        ("directory-answer-dropped", lambda ident: reply(ident=ident, records=2)),
        ("directory-answer-dropped", lambda ident: b""),
        ("directory-answer-old", lambda ident: empty(ident, 39)),
    ],
)
def test_a_bad_answer_changes_nothing_and_is_logged_once_not_at_each_poll(log, event, make):
    w = Wire()
    for _ in range(10):
        w.answer(make)
        w.clock.go(MOST)
    assert w.lists == [["s-0"]] and log.count(event) == 1 and len(w.asked) > 8
    w.answer()
    w.answer()  # a second copy
    assert w.lists == [["s-0"], ["s-1"]]


def test_an_answer_to_another_question_is_passed_over(log):
    w = Wire()
    late = w.asked[-1][1]
    w.clock.go(700)
    assert w.asked[-1][1] != late
    w.directory.datagramReceived(reply(ident=late), None)
    assert w.lists == [["s-0"]]


def test_a_reload_that_moves_the_directory_while_a_question_is_out_believes_the_new_one_alone():
    w = Wire()
    _, old = w.asked[-1]
    w.directory.move(("127.0.0.1", 54))
    assert len(w.asked) == 2  # at once
    w.directory.datagramReceived(reply(ident=old), None)
    assert w.lists == [["s-0"]]
    w.answer()
    assert w.lists[-1] == ["s-1"]


def test_an_empty_list_that_is_newer_binds():
    """No engine may be sent to after it was told to be gone, however odd the list."""
    w = Wire()
    w.answer(lambda ident: empty(ident, 41))
    assert w.lists[-1] == []


def test_a_refusal_is_logged_once_and_asked_again(log):
    w = Wire()
    for _ in range(5):
        w.directory.connectionRefused()
        w.clock.go(MOST)
    assert log.count("directory-refused") == 1 and len(w.asked) > 4
