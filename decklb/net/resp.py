"""Codec for RESP as the engines use it: arrays of bulk strings, `*COUNT`, then `$SIZE` and the bytes of each. No I/O.

Used by the engine connections, the health checks and the stand-ins of the laboratory.
"""

from __future__ import annotations

MAX_ELEMENTS = 16  # per array
MAX_ELEMENT_BYTES = 8192  # per bulk string; the longest are pages, with at most 6,000 bytes
MAX_NUMBER_BYTES = 16  # length of a count or size, including its type byte


class RespError(Exception):
    """The input is not an array of bulk strings within the limits."""


def pack(*elements: bytes) -> bytes:
    """Return an encoded array."""
    parts = [b"*%d\r\n" % len(elements)]
    parts += [b"$%d\r\n%b\r\n" % (len(element), element) for element in elements]
    return b"".join(parts)


class RespReader:
    """Splits a byte stream, received in arbitrary pieces, into arrays."""

    def __init__(self, max_element_bytes: int = MAX_ELEMENT_BYTES) -> None:
        self.buffer = bytearray()  # the incomplete array
        self._max_element_bytes = max_element_bytes

    def feed(self, data: bytes) -> list[list[bytes]]:
        """Return the arrays that are now complete. Raises RespError; the reader can't be used after that."""
        self.buffer += data
        arrays, offset = [], 0
        while (parsed := self._read_array(offset)) is not None:
            array, offset = parsed
            arrays.append(array)
        del self.buffer[:offset]
        return arrays

    def _read_array(self, offset: int) -> tuple[list[bytes], int] | None:
        """Return the array at `offset` and the offset of its end; None if it is incomplete."""
        header = self._read_number(offset, b"*", MAX_ELEMENTS)
        if header is None:
            return None
        count, offset = header
        elements = []
        for _ in range(count):
            header = self._read_number(offset, b"$", self._max_element_bytes)
            if header is None:
                return None
            size, offset = header
            end = offset + size
            if len(self.buffer) < end + 2:
                return None
            if self.buffer[end : end + 2] != b"\r\n":
                raise RespError("bulk string does not end where it should")
            elements.append(bytes(self.buffer[offset:end]))
            offset = end + 2
        return elements, offset

    def _read_number(self, offset: int, type_byte: bytes, maximum: int) -> tuple[int, int] | None:
        """Return the number after a type byte and the offset of its line's end; None if it is incomplete."""
        if offset >= len(self.buffer):
            return None
        if self.buffer[offset : offset + 1] != type_byte:
            raise RespError(f"no {type_byte.decode()} where one belongs")
        end = self.buffer.find(b"\r\n", offset, offset + MAX_NUMBER_BYTES)
        if end < 0:
            if len(self.buffer) - offset >= MAX_NUMBER_BYTES:
                raise RespError("a count is too long")
            return None
        digits = bytes(self.buffer[offset + 1 : end])
        if not digits.isdigit() or int(digits) > maximum:
            raise RespError("a count is out of bounds")
        return int(digits), end + 2


def pack_fields(fields: dict[str, str]) -> bytes:
    """Return fields encoded as `name=value,name=value`, or as `-` if there are none."""
    return ",".join(f"{name}={value}" for name, value in fields.items()).encode() or b"-"


def read_fields(text: bytes) -> dict[str, str]:
    """Return the decoded fields; parts that are not pairs are skipped."""
    pairs = (pair.partition("=") for pair in text.decode("utf-8", "replace").split(","))
    return {name: value for name, separator, value in pairs if separator}
