"""Limits, deadlines, expiry and lookups of the record table."""

from dataclasses import replace

import pytest

from decklb.handoff.errors import KeyReusedError, RecordLimitError
from decklb.handoff.record_table import RecordTable
from decklb.handoff.records import Outcome, fingerprint
from tests.handoff_samples import SMALL_SETTINGS as SETTINGS
from tests.handoff_samples import small_record as record


def test_key_of_a_different_request_raises_key_reused():
    table = RecordTable(SETTINGS)
    table.add(record())
    assert table.add(record()).key == "k"
    with pytest.raises(KeyReusedError):
        table.add(record(request_digest=fingerprint(b"other")))
    with pytest.raises(KeyReusedError):
        table.lookup("k", fingerprint(b"other"))


def test_records_are_limited_by_max_records():
    table = RecordTable(SETTINGS)
    for i in range(4):
        table.add(record(f"k{i}"))
    with pytest.raises(RecordLimitError):
        table.add(record("k9"))
    assert not table.receive_replica(record("k8"), 100.0, 0.0)


def test_replica_has_its_deadline_on_the_receivers_clock_and_expires():
    table = RecordTable(SETTINGS)
    assert table.receive_replica(record(deadline_ms=1e12), remaining_ms=300.0, now=50.0)
    assert table.get("k").deadline_ms == 350.0
    assert table.expire(449.0) == []
    assert table.expire(451.0) == ["k"]
    assert not table.lookup("k", record().request_digest).known


def test_retained_bytes_are_limited_and_released():
    table = RecordTable(replace(SETTINGS, max_bytes=100))
    table.add(record("a"), b"x" * 60)
    with pytest.raises(RecordLimitError):
        table.add(record("b"), b"x" * 60)
    table.write(record("a").with_attempt("e").with_answer(Outcome.SERVED, b"y" * 10, 100))  # the body is dropped
    assert (table.bytes_retained, table.body("a")) == (10, None)
    table.add(record("b"), b"x" * 60)
    table.remove("a")
    assert table.bytes_retained == 60
    table.expire(1e9)
    assert (table.bytes_retained, len(table)) == (0, 0)


def test_replica_of_a_term_below_a_granted_claim_is_not_acknowledged():
    table = RecordTable(SETTINGS)
    assert table.receive_replica(record(), 1000.0, 0.0)
    assert table.ballots.grant("k", (2, "s1"))
    assert not table.receive_replica(record().with_attempt("e1"), 1000.0, 0.0)  # arrives after the takeover
    assert table.receive_replica(record().transferred_to("s1", 2).with_attempt("e2"), 1000.0, 0.0)
    assert table.lookup("k", record().request_digest).holder == "s1"


def test_retrying_client_gets_the_retained_answer():
    table = RecordTable(SETTINGS)
    table.receive_replica(record().with_attempt("e1").with_answer(Outcome.SERVED, b"rows", 100), 1000.0, 0.0)
    found = table.lookup("k", record().request_digest)
    assert (found.outcome, found.answer) == (Outcome.SERVED, b"rows")
