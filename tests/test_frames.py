"""The codec for the frames of the client protocol."""

from __future__ import annotations

import unittest

from decklb.net import frames
from decklb.settings import parse_settings
from tests.standins import SETTINGS

VALID_FIELDS = {"method": "read", "rid": "9b1f03aa5c7e2d41", "budget": "1500", "acct": "cusco"}


class Frames(unittest.TestCase):
    settings = parse_settings(SETTINGS)

    def test_frames_may_be_split_at_any_position(self):
        encoded = frames.pack(1, 7, b"abc") + frames.pack(3, 8) + frames.pack(4, 1, b"\0")
        for size in (1, 2, 5, 9, len(encoded)):
            reader, decoded = frames.FrameReader(), []
            for start in range(0, len(encoded), size):
                decoded += reader.feed(encoded[start : start + size])
            self.assertEqual(
                [(f.type, f.stream, f.payload) for f in decoded], [(1, 7, b"abc"), (3, 8, b""), (4, 1, b"\0")]
            )

    def test_lengths_out_of_bounds_are_rejected_at_once(self):
        for length in (0, 4, 262_145, 0xFFFFFFFF):
            with self.assertRaises(frames.FrameError):
                list(frames.FrameReader().feed(length.to_bytes(4, "big")))
        self.assertEqual(list(frames.FrameReader().feed((262_144).to_bytes(4, "big"))), [])

    def test_a_valid_request_is_decoded(self):
        body = b"select 1 from a_3.b"
        incoming = frames.read_request(
            frames.pack_fields(VALID_FIELDS | {"token": "t0", "obj": "k1"}) + body, self.settings
        )
        self.assertEqual(
            (
                incoming.client_request_id,
                incoming.request_class,
                incoming.tenant,
                incoming.budget_ms,
                incoming.statement,
                incoming.table_group,
                incoming.ordering_key,
                incoming.deduplication_token,
            ),
            (VALID_FIELDS["rid"], "read", "cusco", 1500.0, body, 3, "k1", "t0"),
        )

    def test_invalid_requests_raise_an_error(self):
        for change in (
            {"method": "none"},
            {"rid": ""},
            {"rid": "9B1F03AA5C7E2D41"},
            {"rid": "9b1f03aa5c7e2d4"},
            {"budget": ""},
            {"budget": "0"},
            {"budget": "-5"},
            {"budget": "1.5"},
            {"budget": "9" * 12},
            {"budget": "\u0665"},
            {"acct": "nobody"},
            {"token": "a,b=c"},
            {"token": "x" * 65},
        ):
            with self.assertRaises(frames.InvalidRequestError, msg=change):
                frames.read_request(frames.pack_fields(VALID_FIELDS | change), self.settings)
        for payload in (b"", b"\5", b"\1\3ab", b"\1\1a\xff\xff", b"\1\1\xff\0\1a", b"\1\1a\0"):
            with self.assertRaises(frames.InvalidRequestError, msg=payload):
                frames.read_request(payload, self.settings)
