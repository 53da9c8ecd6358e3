"""Messages and stored records of the handoff keep the bytes of an earlier version, and its settings their values."""

import json
from dataclasses import astuple
from pathlib import Path

import lxml.etree
import msgspec
import pytest

from decklb import config
from decklb.handoff import messages
from decklb.handoff.errors import FrameError
from decklb.handoff.records import Record
from decklb.handoff.store import StoredEntry
from tests.handoff_samples import BODY, greeting, messages_by_tag, records

GOLDEN = json.loads((Path(__file__).parent / "golden/handoff/wire_format.json").read_text())
NONCE = bytes(range(16, 32))
EXAMPLE = Path(__file__).parents[1] / "deploy/handoff.xml"
ENCODER = msgspec.msgpack.Encoder()


@pytest.mark.parametrize("name", GOLDEN["messages"])
def test_message_keeps_its_bytes(name):
    message = messages_by_tag()[name]
    encoded = bytes.fromhex(GOLDEN["messages"][name])
    assert messages.encode_message(message) == encoded
    envelope = messages.decode_envelope(messages.encode_envelope(NONCE, 7, [encoded]))
    assert (envelope.nonce, envelope.sequence, envelope.messages) == (NONCE, 7, [message])


def test_every_message_type_has_golden_bytes():
    assert list(GOLDEN["messages"]) == list(messages_by_tag())
    assert {type(m) for m in messages_by_tag().values()} == set(messages.Message.__args__)


def test_envelope_keeps_its_bytes():
    encoded = [messages.encode_message(m) for m in messages_by_tag().values()]
    frame = messages.encode_envelope(NONCE, 3, encoded)
    assert frame.hex() == GOLDEN["envelope"]
    assert messages.decode_envelope(frame).messages == list(messages_by_tag().values())


def test_greeting_keeps_its_bytes():
    assert messages.encode_message(greeting()).hex() == GOLDEN["greeting"]
    assert messages.decode_greeting(bytes.fromhex(GOLDEN["greeting"])) == greeting()


@pytest.mark.parametrize("reason, frame", GOLDEN["bad_frames"])
def test_bad_frame_is_rejected_for_the_same_reason(reason, frame):
    with pytest.raises(FrameError) as raised:
        messages.decode_envelope(bytes.fromhex(frame))
    assert raised.value.reason == reason


def test_frame_of_more_than_a_thousand_messages_is_rejected():
    heartbeat = messages.encode_message(messages_by_tag()["4-heartbeat"])
    assert len(messages.decode_envelope(messages.encode_envelope(NONCE, 1, [heartbeat] * 1000)).messages) == 1000
    with pytest.raises(FrameError) as raised:
        messages.decode_envelope(messages.encode_envelope(NONCE, 1, [heartbeat] * 1001))
    assert raised.value.reason == "shape"


@pytest.mark.parametrize("reason, frame", GOLDEN["bad_greetings"])
def test_bad_greeting_is_rejected_for_the_same_reason(reason, frame):
    with pytest.raises(FrameError) as raised:
        messages.decode_greeting(bytes.fromhex(frame))
    assert raised.value.reason == reason


@pytest.mark.parametrize("name", GOLDEN["records"])
def test_record_keeps_its_bytes(name):
    record = records()[name]
    encoded = bytes.fromhex(GOLDEN["records"][name])
    assert ENCODER.encode(record) == encoded
    assert msgspec.msgpack.decode(encoded, type=Record) == record


@pytest.mark.parametrize("name", GOLDEN["stored"])
def test_stored_entry_keeps_its_bytes(name):
    entry = stored_entries()[name]
    encoded = bytes.fromhex(GOLDEN["stored"][name])
    assert ENCODER.encode(entry) == encoded
    assert msgspec.msgpack.decode(encoded, type=StoredEntry) == entry


def stored_entries():
    return {
        "record-and-grant": StoredEntry("key-1", records()["attempted"], BODY, (9, "m2")),
        "grant-alone": StoredEntry("key-1", None, None, (9, "m2")),
        "answer": StoredEntry("key-1", records()["answered"], None, None),
    }


def test_settings_of_the_xml_keep_their_values(tmp_path):
    """Each attribute of <handoff>, and the values that are derived from them."""
    tree = lxml.etree.parse(str(EXAMPLE))
    for given in GOLDEN["settings"]:
        element = tree.find("handoff")
        element.attrib.clear()
        element.attrib.update(given["attributes"])
        path = tmp_path / "settings.xml"
        tree.write(path)
        settings = config.load(None, str(path)).handoff
        *values, folder = astuple(settings)
        assert [values, folder.removeprefix(f"{tmp_path}/")] == [given["values"], given["attributes"].get("data", "")]
        assert [settings.quorum, settings.record_lifetime_ms] == given["derived"]
