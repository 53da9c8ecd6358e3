"""Cutting PostgreSQL's byte stream into messages, and payloads into fields."""

from __future__ import annotations

import pytest

from decklb.pg import messages as pg
from decklb.pg.errors import PgError


def test_messages_split_anywhere():
    raw = pg.pack_startup({"user": "u"}) + pg.pack(b"Q", b"select 1\0") + pg.SYNC
    for size in (1, 2, 3, 7, len(raw)):
        reader, found = pg.MessageReader(1000, startup=True), []
        for at in range(0, len(raw), size):
            for message in reader.feed(raw[at : at + size]):
                reader.startup = False
                found.append((message.type, message.payload))
        assert [message_type for message_type, _ in found] == [b"", b"Q", b"S"]
        assert found[1][1] == b"select 1\0"


@pytest.mark.parametrize(
    ("raw", "startup"),
    [(b"\0\0\0\3", True), (b"\x7f\0\0\0", True), (b"Q\0\0\0\3", False), (b"Q\x7f\0\0\0", False)],
)
def test_lengths_out_of_bounds_are_rejected_before_they_are_waited_for(raw, startup):
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
def test_payloads_that_end_early_are_errors(read):
    with pytest.raises(PgError):
        read(pg.PayloadReader(b"\1"))
