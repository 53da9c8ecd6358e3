"""The handoff's store: which data outlives a process, and when it counts as forgotten."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from decklb.handoff.errors import StoreError
from decklb.handoff.record_table import RecordTable
from decklb.handoff.records import Outcome
from decklb.handoff.settings import HandoffSettings
from decklb.handoff.store import Store, StoredEntry, StoredMemory
from tests.handoff_samples import small_record as record


@pytest.fixture
def folder(tmp_path):
    return str(tmp_path / "m0")


def reopen(folder, member="m0", boot="b1", memory_id=7, now=1000.0, writes=None):
    """Open the folder as a new process does, return the memory that it reads, and write `writes`."""
    store = Store(folder, 1 << 20)
    try:
        memory = store.open(member, memory_id, now, boot)
        if writes:
            store.write(writes)
        return memory
    finally:
        store.close()


def test_entries_are_read_by_the_next_process(folder):
    kept = StoredEntry("k", record().with_attempt("e1"), b"body", (2, "s1"))
    deleted = StoredEntry("g", record("g"), b"body", None)
    assert reopen(folder, writes={"k": kept, "g": deleted}) == StoredMemory(7, 1000.0, [])
    second = reopen(folder, memory_id=8, now=2000.0, writes={"g": None})
    assert (second.memory_id, second.since_ms) == (7, 1000.0)
    assert reopen(folder, memory_id=9, now=3000.0) == StoredMemory(7, 1000.0, [kept])


def test_another_member_or_boot_starts_an_empty_memory(folder):
    reopen(folder, writes={"k": StoredEntry("k", record(), b"body", None)})
    assert reopen(folder, boot="b2", memory_id=8, now=5.0) == StoredMemory(8, 5.0, [])
    assert reopen(folder, member="m1", boot="b2", memory_id=9, now=6.0) == StoredMemory(9, 6.0, [])
    # Without a boot id from the kernel, stored data is never trusted.
    assert reopen(folder, member="m1", boot="", memory_id=10, now=7.0) == StoredMemory(10, 7.0, [])


def test_folder_that_is_unusable_or_full_raises_store_error(folder, request):
    with open(folder, "w"):
        pass
    with pytest.raises(StoreError, match="m0"):
        Store(folder, 1 << 20)
    store = Store(folder + "x", 1)
    request.addfinalizer(store.close)
    store.open("m0", 1, 0.0, "b")
    with pytest.raises(StoreError, match="(?i)full"):
        store.write({f"k{i}": StoredEntry(f"k{i}", None, b"x" * (1 << 20), None) for i in range(100)})


def test_restored_table_grants_and_admits_as_before():
    settings = HandoffSettings()
    table = RecordTable(settings)
    table.receive_replica(record(), 1e4, 0.0, b"body")
    table.grant("k", (3, "s2"), 0.0)
    answered = replace(record("a"), deadline_ms=1e4).with_attempt("e").with_answer(Outcome.SERVED, b"rows", 100)
    table.write(answered)
    assert list(table.changed_keys) == ["k", "a"]
    restored = RecordTable(settings)
    for key in table.changed_keys:
        restored.restore(key, table.get(key), table.body(key), table.ballots.granted(key), 0.0)
    assert not restored.grant("k", (3, "s1"), 0.0)
    assert not restored.ballots.admits(record())
    assert (restored.body("k"), restored.bytes_retained) == (b"body", table.bytes_retained)
    assert restored.lookup("a", answered.request_digest).answer == b"rows"
