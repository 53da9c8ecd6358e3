"""The RESP codec."""

from __future__ import annotations

import unittest

from decklb.net import resp


class Resp(unittest.TestCase):
    def test_arrays_may_be_split_at_any_position(self):
        encoded = resp.pack(b"id", b"data", b"parts=2", b"a\tb\r\n\n") + resp.pack(b"x", b"moot")
        for size in (1, 2, 3, len(encoded)):
            reader, arrays = resp.RespReader(), []
            for start in range(0, len(encoded), size):
                arrays += reader.feed(encoded[start : start + size])
            self.assertEqual(arrays, [[b"id", b"data", b"parts=2", b"a\tb\r\n\n"], [b"x", b"moot"]])

    def test_malformed_arrays_are_rejected(self):
        for encoded in (
            b"+OK\r\n",
            b"*99\r\n",
            b"*-1\r\n",
            b"*1\r\n:1\r\n",
            b"*1\r\n$99999999\r\n",
            b"*1\r\n$1\r\nabc",
            b"*" + b"1" * 20,
            b"*1\r\n$-1\r\n",
            b"*x\r\n",
        ):
            with self.assertRaises(resp.RespError, msg=encoded):
                resp.RespReader().feed(encoded)

    def test_fields_are_encoded_and_decoded(self):
        self.assertEqual(resp.pack_fields({}), b"-")
        for text, fields in ((b"-", {}), (b"a=1,b=x=y", {"a": "1", "b": "x=y"}), (b"", {}), (b"\xff", {})):
            self.assertEqual(resp.read_fields(text), fields)
