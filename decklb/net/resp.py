"""RESP as the engines speak it: arrays of bulk strings, `*COUNT` then `$SIZE` and the bytes of each."""

from __future__ import annotations

MOST_PARTS, MOST_SIZE, MOST_HEAD = 16, 8192, 16  # a page, the largest thing sent, has at most 6,000 bytes


class RespError(Exception):
    """What came is no array of bulk strings within bounds."""


def pack(*parts: bytes) -> bytes:
    """One array."""
    out = [b"*%d\r\n" % len(parts)]
    out += [b"$%d\r\n%b\r\n" % (len(p), p) for p in parts]
    return b"".join(out)


class RespReader:
    """Cuts a byte stream, split anywhere, into arrays."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[list[bytes]]:
        """The arrays that are whole now. Raises RespError; nothing can be read after that."""
        self.buffer += data
        arrays, at = [], 0
        while (whole := self._array(at)) is not None:
            array, at = whole
            arrays.append(array)
        del self.buffer[:at]
        return arrays

    def _array(self, at: int) -> tuple[list[bytes], int] | None:
        head = self._number(at, b"*", MOST_PARTS)
        if head is None:
            return None
        count, at = head
        parts = []
        for _ in range(count):
            head = self._number(at, b"$", MOST_SIZE)
            if head is None:
                return None
            size, at = head
            if len(self.buffer) < at + size + 2:
                return None
            if self.buffer[at + size : at + size + 2] != b"\r\n":
                raise RespError("bulk string does not end where it should")
            parts.append(bytes(self.buffer[at : at + size]))
            at += size + 2
        return parts, at

    def _number(self, at: int, mark: bytes, most: int) -> tuple[int, int] | None:
        if at >= len(self.buffer):
            return None
        if self.buffer[at : at + 1] != mark:
            raise RespError(f"no {mark.decode()} where one belongs")
        end = self.buffer.find(b"\r\n", at, at + MOST_HEAD)
        if end < 0:
            if len(self.buffer) - at >= MOST_HEAD:
                raise RespError("a count is too long")
            return None
        digits = bytes(self.buffer[at + 1 : end])
        if not digits.isdigit() or int(digits) > most:
            raise RespError("a count is out of bounds")
        return int(digits), end + 2


def pack_fields(fields: dict[str, str]) -> bytes:
    """`name=value,name=value`, or `-` for none."""
    return ",".join(f"{n}={v}" for n, v in fields.items()).encode() or b"-"


def read_fields(text: bytes) -> dict[str, str]:
    """The reverse; what is no pair is skipped."""
    pairs = (p.partition("=") for p in text.decode("utf-8", "replace").split(","))
    return {name: value for name, sign, value in pairs if sign}
