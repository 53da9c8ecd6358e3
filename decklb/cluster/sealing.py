"""Authenticated encryption of datagrams with a ring of keys. Does no I/O and generates no random numbers.

AES-256-GCM (NIST SP 800-38D). A sealed datagram consists of version (1 byte), key id (4), nonce (12) and ciphertext
with its authentication tag (16). The nonce consists of a salt of 8 random bytes, which changes each time the ring is
loaded, and a counter. So no two members use the same nonce: with a thousand members two salts are equal once in 10^13
starts.

Used by `node` for datagrams, and by the handoff subsystem for its streams under a cluster name of their own.
"""

from __future__ import annotations

from hashlib import blake2b

from cryptography.exceptions import InvalidTag
from cryptography.hazmat.primitives.ciphers.aead import AESGCM

from decklb.cluster.errors import WireError
from decklb.cluster.messages import MAX_DATAGRAM_BYTES, SEAL_OVERHEAD_BYTES

SEAL_VERSION = 1

KEY_BYTES = 32
KEY_ID_BYTES = 4
SALT_BYTES = 8
COUNTER_BYTES = 4
NONCE_BYTES = SALT_BYTES + COUNTER_BYTES
HEADER_BYTES = 1 + KEY_ID_BYTES

# Maximum number of datagrams sealed with one salt.
MAX_SEALED = 1 << 8 * COUNTER_BYTES


def key_id(key: bytes) -> bytes:
    """Return a short id of a key that reveals nothing about the key."""
    return blake2b(key, digest_size=KEY_ID_BYTES, person=b"decklb-key").digest()


class Sealer:
    """Seals with the first key of a ring; opens datagrams sealed with any of its keys."""

    def __init__(self, cluster_name: str, keys: list[bytes], salt: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> None:
        """Create a sealer.

        Args:
            cluster_name: authenticated with each datagram, so that clusters with the same key stay separate.
            keys: the ring, starting with the key that seals.
            salt: random bytes, never used before with these keys.
            max_bytes: maximum size of a sealed datagram that is opened.

        Raises:
            ValueError: if the ring is empty, or a key or the salt has the wrong length.
        """
        if not keys or any(len(key) != KEY_BYTES for key in keys):
            raise ValueError(f"a ring needs at least one key, each of {KEY_BYTES} bytes")
        if len(salt) != SALT_BYTES:
            raise ValueError(f"a salt must have {SALT_BYTES} bytes")
        self._cluster_name = cluster_name.encode()
        self._sealing_key_id = key_id(keys[0])
        self._ciphers = {key_id(key): AESGCM(key) for key in keys}
        self._salt = salt
        self._max_bytes = max_bytes
        self._sealed_count = 0

    def seal(self, plain: bytes) -> bytes:
        """Seal a datagram. Raises OverflowError if all nonces of the salt are used: a new salt is needed then."""
        if self._sealed_count >= MAX_SEALED:
            raise OverflowError("all nonces of this salt are used")
        header = bytes([SEAL_VERSION]) + self._sealing_key_id
        nonce = self._salt + self._sealed_count.to_bytes(COUNTER_BYTES, "big")
        self._sealed_count += 1
        cipher = self._ciphers[self._sealing_key_id]
        return header + nonce + cipher.encrypt(nonce, plain, header + self._cluster_name)

    @property
    def needs_new_salt(self) -> bool:
        """Whether half of the salt's nonces are used."""
        return self._sealed_count >= MAX_SEALED // 2

    def open(self, data: bytes) -> bytes:
        """Open a sealed datagram.

        Raises:
            WireError: with the reason `size`, `version`, `key` (not in the ring) or `seal` (not authentic).
        """
        if not SEAL_OVERHEAD_BYTES < len(data) <= self._max_bytes:
            raise WireError("size", f"{len(data)} bytes")
        if data[0] != SEAL_VERSION:
            raise WireError("version", f"{data[0]}")
        header = data[:HEADER_BYTES]
        nonce = data[HEADER_BYTES : HEADER_BYTES + NONCE_BYTES]
        cipher = self._ciphers.get(header[1:])
        if cipher is None:
            raise WireError("key", "sealed with a key that is not in the ring")
        try:
            return cipher.decrypt(nonce, data[HEADER_BYTES + NONCE_BYTES :], header + self._cluster_name)
        except InvalidTag as error:
            raise WireError("seal") from error
