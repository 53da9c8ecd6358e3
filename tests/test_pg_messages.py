"""Splitting PostgreSQL's byte stream into messages, and reading the fields of payloads."""

from __future__ import annotations

import pytest

from decklb.pg import messages as pg
from decklb.pg.errors import PgError


def test_messages_are_read_from_chunks_of_any_size():
    raw = pg.pack_startup({"user": "u"}) + pg.pack(b"Q", b"select 1\0") + pg.SYNC
    for chunk_size in (1, 2, 3, 7, len(raw)):
        reader, messages = pg.MessageReader(1000, startup=True), []
        for start in range(0, len(raw), chunk_size):
            for message in reader.feed(raw[start : start + chunk_size]):
                reader.startup = False
                messages.append((message.type, message.payload))
        assert [message_type for message_type, _ in messages] == [b"", b"Q", b"S"]
        assert messages[1][1] == b"select 1\0"


@pytest.mark.parametrize(
    ("raw", "startup"),
    [(b"\0\0\0\3", True), (b"\x7f\0\0\0", True), (b"Q\0\0\0\3", False), (b"Q\x7f\0\0\0", False)],
)
def test_lengths_out_of_bounds_are_rejected_before_the_payload_arrives(raw, startup):
    with pytest.raises(PgError):
        list(pg.MessageReader(1000, startup).feed(raw))


@pytest.mark.parametrize(
    "read",
    [
        lambda fields: fields.string(),
        lambda fields: fields.integer("I"),
        lambda fields: (fields.integer("B"), fields.integer("h")),
    ],
)
def test_reading_past_the_end_of_a_payload_is_an_error(read):
    with pytest.raises(PgError):
        read(pg.PayloadReader(b"\1"))
