"""A store written by an earlier version is read, acted on and written again. See `tests/golden/handoff/`."""

import random
import zipfile
from pathlib import Path

import pytest
from msgspec.structs import replace

from decklb.handoff import messages
from decklb.handoff.coordinator import HandoffCoordinator
from decklb.handoff.member_state import RequestRunner
from decklb.handoff.records import Outcome, Stage
from decklb.handoff.settings import HandoffSettings
from decklb.handoff.store import Store, StoredEntry, StoredMemory
from tests.handoff_samples import BODY, MEMBERS, new_record, records

ARCHIVE = Path(__file__).parent / "golden/handoff/store.zip"  # written as member m0, boot "boot-1", memory 4711
WRITTEN_AT = 2000.0  # ms on the clock of the member that wrote it
NOW = 50_000.0  # ms; the stored memory then reaches back further than any record lives
DEADLINE = 70_000.0  # ms, of the stored records


def written_entries():
    """What the earlier version wrote: a record of a lost member, a record of its own, an answer, and a grant alone."""
    lost = replace(records()["attempted"], deadline_ms=DEADLINE)
    own = replace(new_record("key-own", holder="m0", incarnation=5), deadline_ms=DEADLINE).with_attempt(
        "engine-2", b"cancel"
    )
    answered = replace(new_record("key-answered"), deadline_ms=DEADLINE).with_answer(Outcome.SERVED, b"rows", 9)
    return {
        "key-1": StoredEntry("key-1", lost, BODY, None),
        "key-own": StoredEntry("key-own", own, BODY, (4, "m1")),
        "key-answered": StoredEntry("key-answered", answered, None, None),
        "key-granted": StoredEntry("key-granted", None, None, (9, "m2")),
    }


@pytest.fixture
def folder(tmp_path):
    with zipfile.ZipFile(ARCHIVE) as archive:
        archive.extractall(tmp_path / "m0")
    return str(tmp_path / "m0")


@pytest.fixture
def store(folder):
    store = Store(folder, 1 << 20)
    yield store
    store.close()


def restored(store):
    """A restarted member with the memory that the earlier version stored."""
    settings = HandoffSettings()
    memory = store.open("m0", 12, NOW, "boot-1")
    member = HandoffCoordinator(
        settings,
        "m0",
        6,
        memory.memory_id,
        NOW - memory.since_ms,
        random.Random(1),
        NOW,
        RequestRunner(lambda record, body: None, lambda key: None),
    )
    for entry in memory.entries:
        member.restore(entry.key, entry.record, entry.body, entry.granted, NOW)
    return member


def test_entries_of_an_earlier_version_are_read(store):
    memory = store.open("m0", 12, NOW, "boot-1")
    assert (memory.memory_id, memory.since_ms) == (4711, WRITTEN_AT)
    assert {entry.key: entry for entry in memory.entries} == written_entries()


def test_restored_member_votes_and_takes_over_according_to_the_stored_entries(store):
    member = restored(store)
    types = dict(zip([*range(1, 13)], messages.Message.__args__, strict=True))
    replicate, ack, claim, grant, reject = types[1], types[2], types[7], types[8], types[9]
    member.update_members(NOW, {"m0": 6, "m1": 1}, MEMBERS)
    member.connected(NOW, "m1", 1, 1)
    member.take_outbox()
    # A claim not above the stored grant is rejected, one above it is granted, without a record.
    member.receive(NOW, "m1", claim("key-granted", 9))
    assert member.take_outbox() == [("m1", reject("key-granted", 9, 8, 9))]
    member.receive(NOW, "m1", claim("key-granted", 10))
    assert member.take_outbox() == [("m1", grant("key-granted", 10))]
    # The records of the lost member and its own of an earlier incarnation are claimed and taken over.
    for tick in range(1, 160):
        now = NOW + tick * 25.0
        member.tick(now)
        for peer, message in member.take_outbox():
            if isinstance(message, claim):
                member.receive(now, peer, grant(message.key, message.term))
            elif isinstance(message, replicate):
                record = message.record
                member.receive(now, peer, ack(record.key, record.term, record.version, now))
            elif isinstance(message, types[4]):
                member.receive(now, peer, types[5](now))
    terms = {key: member.table.get(key).term for key in sorted(member.state.held)}
    assert terms == {"key-1": 4, "key-answered": 4, "key-own": 5}  # key-own: above the stored grant
    held = member.table.get("key-1")
    assert (held.holder, held.holder_incarnation, held.term, held.stage) == ("m0", 6, 4, Stage.SENT)
    assert member.table.body("key-1") == BODY
    # Its present state can be written to the store and read again.
    store.write({"key-1": StoredEntry("key-1", held, BODY, (4, "m0")), "key-granted": None})
    memory = store.open("m0", 13, NOW, "boot-1")
    assert {entry.key: entry.record for entry in memory.entries} == {
        "key-1": held,
        "key-own": written_entries()["key-own"].record,
        "key-answered": written_entries()["key-answered"].record,
    }


def test_stored_entries_are_forgotten_after_another_boot_of_the_machine(store):
    assert store.open("m0", 12, NOW, "boot-2") == StoredMemory(12, NOW, [])
