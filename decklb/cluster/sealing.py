"""Authenticated encryption of datagrams under a ring of keys. Free of I/O and of randomness.

AES-256-GCM (NIST SP 800-38D). A sealed datagram is: version (1 byte), key id (4), nonce (12), ciphertext with its tag
(16). The nonce is a salt of 8 random bytes, new with each ring, and a counter, so that no two members seal under one
nonce: at a thousand members two salts are alike once in 10^13 starts.

Used by `node` for datagrams, and by the handoff for its streams under a name of their own.
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

# Datagrams that may be sealed under one salt.
MAX_SEALED = 1 << 8 * COUNTER_BYTES


def key_id(key: bytes) -> bytes:
    """A short name of a key that reveals nothing of it."""
    return blake2b(key, digest_size=KEY_ID_BYTES, person=b"decklb-key").digest()


class Sealer:
    """Seals under the first key of a ring; opens what any of them sealed."""

    def __init__(self, cluster_name: str, keys: list[bytes], salt: bytes, max_bytes: int = MAX_DATAGRAM_BYTES) -> None:
        """Make a sealer.

        Args:
            cluster_name: authenticated with each datagram, so that clusters under one key don't mix.
            keys: the ring, the key that seals first.
            salt: random bytes, never used before with these keys.
            max_bytes: largest sealed datagram that is opened.

        Raises:
            ValueError: if the ring is empty, or a key or the salt has another length.
        """
        if not keys or any(len(key) != KEY_BYTES for key in keys):
            raise ValueError(f"a ring has at least one key, each of {KEY_BYTES} bytes")
        if len(salt) != SALT_BYTES:
            raise ValueError(f"a salt has {SALT_BYTES} bytes")
        self._cluster_name = cluster_name.encode()
        self._sealing_key = key_id(keys[0])
        self._ciphers = {key_id(key): AESGCM(key) for key in keys}
        self._salt = salt
        self._max_bytes = max_bytes
        self._sealed = 0

    def seal(self, plain: bytes) -> bytes:
        """Seal a datagram. Raises OverflowError when the salt is used up: a sealer with another one is needed."""
        if self._sealed >= MAX_SEALED:
            raise OverflowError("nonces are used up")
        header = bytes([SEAL_VERSION]) + self._sealing_key
        nonce = self._salt + self._sealed.to_bytes(COUNTER_BYTES, "big")
        self._sealed += 1
        cipher = self._ciphers[self._sealing_key]
        return header + nonce + cipher.encrypt(nonce, plain, header + self._cluster_name)

    @property
    def needs_new_salt(self) -> bool:
        """Whether half of the salt's nonces are used."""
        return self._sealed >= MAX_SEALED // 2

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
            raise WireError("key", "sealed under a key that is not in the ring")
        try:
            return cipher.decrypt(nonce, data[HEADER_BYTES + NONCE_BYTES :], header + self._cluster_name)
        except InvalidTag as error:
            raise WireError("seal") from error
