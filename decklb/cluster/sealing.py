"""Sealing of datagrams under a ring of keys, and the windows that drop replays. No file, clock or randomness in here.

AES-256-GCM (NIST SP 800-38D). The nonce is a salt of 8 random bytes, new with each ring, and a counter, so that no two
members seal under one nonce: at a thousand members two salts are alike once in 10^13 starts.
"""

from __future__ import annotations

from collections import OrderedDict
from hashlib import blake2b

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from decklb.cluster.errors import WireError
from decklb.cluster.messages import MAX_DATAGRAM_BYTES, SEAL_OVERHEAD_BYTES, Envelope

KEY_BYTES, ID_BYTES, SALT_BYTES = 32, 4, 8
WINDOW = 1024  # datagrams by which one may come late
MOST_SENDERS = 4096  # of whom windows are kept
_COUNTS = 1 << 32
SEAL_VERSION = 1


def key_id(key: bytes) -> bytes:
    """A short name that gives nothing of the key away."""
    return blake2b(key, digest_size=ID_BYTES, person=b"decklb-key").digest()


class Sealer:
    """The first key seals, all open."""

    def __init__(self, cluster: str, keys: list[bytes], salt: bytes, most: int = MAX_DATAGRAM_BYTES) -> None:
        """`most`: bytes of what is sealed, seal included; datagrams' by default."""
        if not keys or any(len(k) != KEY_BYTES for k in keys):
            raise ValueError(f"a ring has at least one key, each of {KEY_BYTES} bytes")
        if len(salt) != SALT_BYTES:
            raise ValueError(f"a salt has {SALT_BYTES} bytes")
        self._bound = cluster.encode()
        self._first = key_id(keys[0])
        self._ciphers = {key_id(k): AESGCM(k) for k in keys}
        self._salt, self._count, self._most = salt, 0, most

    def seal(self, plain: bytes) -> bytes:
        """Raises OverflowError after 2^32 datagrams: the ring is to be loaded anew, with another salt."""
        if self._count >= _COUNTS:
            raise OverflowError("nonces are used up")
        nonce = self._salt + self._count.to_bytes(4, "big")
        self._count += 1
        head = bytes([SEAL_VERSION]) + self._first
        return head + nonce + self._ciphers[self._first].encrypt(nonce, plain, head + self._bound)

    @property
    def spent(self) -> bool:
        """Whether it is time for a new salt."""
        return self._count >= _COUNTS // 2

    def open(self, data: bytes) -> bytes:
        """What was sealed. Raises WireError with the reason `size`, `version`, `key` or `seal`."""
        if not SEAL_OVERHEAD_BYTES < len(data) <= self._most:
            raise WireError("size", f"{len(data)} bytes")
        if data[0] != SEAL_VERSION:
            raise WireError("version", f"{data[0]}")
        head, nonce = data[: 1 + ID_BYTES], data[1 + ID_BYTES : 1 + ID_BYTES + 12]
        cipher = self._ciphers.get(head[1:])
        if cipher is None:
            raise WireError("key", "sealed under a key that is not in the ring")
        try:
            return cipher.decrypt(nonce, data[1 + ID_BYTES + 12 :], head + self._bound)
        except InvalidTag as error:
            raise WireError("seal") from error


class Replays:
    """Which datagrams of each sender's run have been seen. RFC 4303 (3.4.3) has a window of this kind."""

    def __init__(self, skew: float) -> None:
        self.skew = skew  # ms
        self._seen: OrderedDict[tuple[str, int], tuple[int, int]] = OrderedDict()  # highest, bits below it

    def check(self, envelope: Envelope, wall: float) -> None:
        """Raises WireError with the reason `skew` or `replay`.

        The clock guards where a window can't: after our own restart nothing has been seen.
        """
        if abs(envelope.wall_clock_ms - wall) > self.skew:
            raise WireError("skew", f"{envelope.wall_clock_ms - wall:+.0f} ms")
        who = (envelope.sender, envelope.run_id)
        highest, bits = self._seen.get(who, (-1, 0))
        ahead = envelope.sequence - highest
        if ahead > 0:
            bits = (bits << min(ahead, WINDOW) | 1) & ((1 << WINDOW) - 1) if highest >= 0 else 1
            highest = envelope.sequence
        elif -ahead >= WINDOW or bits >> -ahead & 1:
            raise WireError("replay")
        else:
            bits |= 1 << -ahead
        self._seen[who] = highest, bits
        self._seen.move_to_end(who)
        if len(self._seen) > MOST_SENDERS:
            self._seen.popitem(last=False)
