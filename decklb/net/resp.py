"""RESP as the engines speak it: arrays of bulk strings, `*COUNT` then `$SIZE` and the bytes of each. No I/O.

Used by the engine connections, the health checks and the laboratory's stand-ins.
"""

from __future__ import annotations

MAX_ELEMENTS = 16  # of one array
MAX_ELEMENT_BYTES = 8192  # of one bulk string: a page, the largest thing sent, has at most 6,000
MAX_NUMBER_BYTES = 16  # of a count or size with its mark


class RespError(Exception):
    """What came is no array of bulk strings within bounds."""


def pack(*elements: bytes) -> bytes:
    """One array."""
    out = [b"*%d\r\n" % len(elements)]
    out += [b"$%d\r\n%b\r\n" % (len(element), element) for element in elements]
    return b"".join(out)


class RespReader:
    """Cuts a byte stream, split anywhere, into arrays."""

    def __init__(self) -> None:
        self.buffer = bytearray()  # what has come of arrays that are not whole

    def feed(self, data: bytes) -> list[list[bytes]]:
        """The arrays that are whole now. Raises RespError; nothing can be read after that."""
        self.buffer += data
        arrays, at = [], 0
        while (parsed := self._array(at)) is not None:
            array, at = parsed
            arrays.append(array)
        del self.buffer[:at]
        return arrays

    def _array(self, at: int) -> tuple[list[bytes], int] | None:
        """The array that begins there and where it ends; None if it is not whole."""
        header = self._number(at, b"*", MAX_ELEMENTS)
        if header is None:
            return None
        count, at = header
        elements = []
        for _ in range(count):
            header = self._number(at, b"$", MAX_ELEMENT_BYTES)
            if header is None:
                return None
            size, at = header
            end = at + size
            if len(self.buffer) < end + 2:
                return None
            if self.buffer[end : end + 2] != b"\r\n":
                raise RespError("bulk string does not end where it should")
            elements.append(bytes(self.buffer[at:end]))
            at = end + 2
        return elements, at

    def _number(self, at: int, mark: bytes, most: int) -> tuple[int, int] | None:
        """The number behind a mark and where its line ends; None if it is not whole."""
        if at >= len(self.buffer):
            return None
        if self.buffer[at : at + 1] != mark:
            raise RespError(f"no {mark.decode()} where one belongs")
        end = self.buffer.find(b"\r\n", at, at + MAX_NUMBER_BYTES)
        if end < 0:
            if len(self.buffer) - at >= MAX_NUMBER_BYTES:
                raise RespError("a count is too long")
            return None
        digits = bytes(self.buffer[at + 1 : end])
        if not digits.isdigit() or int(digits) > most:
            raise RespError("a count is out of bounds")
        return int(digits), end + 2


def pack_fields(fields: dict[str, str]) -> bytes:
    """Fields as `name=value,name=value`, or `-` for none."""
    return ",".join(f"{name}={value}" for name, value in fields.items()).encode() or b"-"


def read_fields(text: bytes) -> dict[str, str]:
    """The fields in such a text; what is no pair is skipped."""
    pairs = (pair.partition("=") for pair in text.decode("utf-8", "replace").split(","))
    return {name: value for name, separator, value in pairs if separator}
