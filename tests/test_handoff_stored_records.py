"""A store written by an earlier version: read, taken over from, and written on. See `tests/golden/handoff/`."""

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
NOW = 50_000.0  # ms; its memory reaches back for longer than any record lives
DEADLINE = 70_000.0  # ms, of its records


def written_entries():
    """What the earlier version wrote: a record of a lost member, one of the member's own, an answer, a bare grant."""
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
    """The member that comes back with what the earlier version kept."""
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


def test_restored_member_answers_votes_and_takes_over_by_what_was_stored(store):
    member = restored(store)
    kinds = dict(zip([*range(1, 13)], messages.Message.__args__, strict=True))
    copy, ack, claim, grant, refusal = kinds[1], kinds[2], kinds[7], kinds[8], kinds[9]
    member.update_members(NOW, {"m0": 6, "m1": 1}, MEMBERS)
    member.connected(NOW, "m1", 1, 1)
    member.take_outbox()
    # A claim below the stored grant is refused, one above it granted with nothing.
    member.receive(NOW, "m1", claim("key-granted", 9))
    assert member.take_outbox() == [("m1", refusal("key-granted", 9, 8, 9))]
    member.receive(NOW, "m1", claim("key-granted", 10))
    assert member.take_outbox() == [("m1", grant("key-granted", 10))]
    # The records of the lost member are claimed, also its own of an earlier run, and taken over.
    for tick in range(1, 160):
        now = NOW + tick * 25.0
        member.tick(now)
        for peer, message in member.take_outbox():
            if isinstance(message, claim):
                member.receive(now, peer, grant(message.key, message.term))
            elif isinstance(message, copy):
                record = message.record
                member.receive(now, peer, ack(record.key, record.term, record.version, now))
            elif isinstance(message, kinds[4]):
                member.receive(now, peer, kinds[5](now))
    terms = {key: member.table.get(key).term for key in sorted(member.state.held)}
    assert terms == {"key-1": 4, "key-answered": 4, "key-own": 5}  # the last above the grant that was stored
    held = member.table.get("key-1")
    assert (held.holder, held.holder_incarnation, held.term, held.stage) == ("m0", 6, 4, Stage.SENT)
    assert member.table.body("key-1") == BODY
    # What it knows now is written on, and found again.
    store.write({"key-1": StoredEntry("key-1", held, BODY, (4, "m0")), "key-granted": None})
    memory = store.open("m0", 13, NOW, "boot-1")
    assert {entry.key: entry.record for entry in memory.entries} == {
        "key-1": held,
        "key-own": written_entries()["key-own"].record,
        "key-answered": written_entries()["key-answered"].record,
    }


def test_another_boot_of_the_machine_forgets_what_was_stored(store):
    assert store.open("m0", 12, NOW, "boot-2") == StoredMemory(12, NOW, [])
