"""The key file: a ring of keys as JSON, readable by its owner only. The first key seals datagrams; any key opens them.

`runtime` reads the file at the start and on each reload; `decklb keys` writes it. It is replaced atomically.
"""

from __future__ import annotations

import base64
import os
import stat
from dataclasses import dataclass
from datetime import UTC, datetime
from enum import StrEnum
from pathlib import Path

import msgspec

from decklb.cluster.errors import KeyFileError
from decklb.cluster.sealing import KEY_BYTES, key_id

FILE_VERSION = 1

# Maximum number of keys in a ring. A rotation needs two; more are leftovers of rotations whose drop step is missing.
MAX_KEYS = 8

FILE_MODE = 0o600
GROUP_AND_OTHERS_MODE_BITS = 0o077


class RotationStep(StrEnum):
    """One step of replacing the key; all members must have the new file before the next step."""

    ADD = "add"  # inserts a new key as the second of the ring: it opens but does not seal yet
    PROMOTE = "promote"  # swaps the first two keys, so that the new one seals
    DROP = "drop"  # removes all keys but the first


class _KeyRecord(msgspec.Struct, frozen=True):
    """One key as stored in the file."""

    key: str  # base64
    created: str = msgspec.field(name="made")


class _KeyRing(msgspec.Struct, frozen=True):
    """The content of the file."""

    version: int
    keys: list[_KeyRecord]


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a ring.

    Attributes:
        secret: `KEY_BYTES` random bytes.
        created: time of creation in ISO 8601 format.
    """

    secret: bytes
    created: str

    @property
    def name(self) -> str:
        """The key's id in hex; it does not reveal the secret."""
        return key_id(self.secret).hex()


def read(path: str) -> list[Key]:
    """Read a ring. Raises KeyFileError if the file is missing, accessible to others, or not a valid key file."""
    data = _read_private(path)
    try:
        ring = msgspec.json.decode(data, type=_KeyRing)
        keys = [Key(base64.b64decode(record.key, validate=True), record.created) for record in ring.keys]
    except (msgspec.DecodeError, ValueError) as error:
        raise KeyFileError(f"{path}: not a valid key file: {error}") from error
    if ring.version != FILE_VERSION:
        raise KeyFileError(f"{path}: version {ring.version} is not supported; expected version {FILE_VERSION}")
    if not 1 <= len(keys) <= MAX_KEYS or any(len(key.secret) != KEY_BYTES for key in keys):
        raise KeyFileError(f"{path}: must contain 1 to {MAX_KEYS} keys of {KEY_BYTES} bytes each")
    if len({key.secret for key in keys}) != len(keys):
        raise KeyFileError(f"{path}: contains the same key twice")
    return keys


def _read_private(path: str) -> bytes:
    try:
        mode = stat.S_IMODE(os.stat(path).st_mode)
        if mode & GROUP_AND_OTHERS_MODE_BITS:
            raise KeyFileError(f"{path}: mode {mode:04o} gives other users access to the keys; run chmod 0600")
        return Path(path).read_bytes()
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}; `decklb keys new` creates a key file") from error


def write(path: str, keys: list[Key], must_be_new: bool = False) -> None:
    """Write a ring atomically.

    Args:
        path: path of the key file.
        keys: the ring, starting with the key that seals.
        must_be_new: refuse to replace an existing file.

    Raises:
        KeyFileError: if the file cannot be written, or exists although it must be new.
    """
    if must_be_new and os.path.exists(path):
        raise KeyFileError(f"{path}: already exists; `decklb keys rotate` changes its keys")
    records = [_KeyRecord(base64.b64encode(key.secret).decode(), key.created) for key in keys]
    data = msgspec.json.format(msgspec.json.encode(_KeyRing(FILE_VERSION, records)), indent=1)
    temporary = f"{path}.new"
    try:
        # Written to a private temporary file and renamed: a process that reloads must never read an incomplete file,
        # and other users must not be able to read it at any time.
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        with os.fdopen(descriptor, "wb") as file:
            os.fchmod(file.fileno(), FILE_MODE)
            file.write(data + b"\n")
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary, path)
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from error


def generate() -> Key:
    """Generate a random key."""
    return Key(os.urandom(KEY_BYTES), datetime.now(UTC).isoformat(timespec="seconds"))


def rotate(keys: list[Key], step: RotationStep, new_key: Key) -> list[Key]:
    """Return the ring after a step; only `RotationStep.ADD` uses `new_key`.

    Raises:
        KeyFileError: if the ring is full, or has only one key and the step needs two.
    """
    if step is RotationStep.ADD:
        if len(keys) >= MAX_KEYS:
            raise KeyFileError(f"{MAX_KEYS} keys already; drop old ones first")
        return [keys[0], new_key, *keys[1:]]
    if len(keys) < 2:
        raise KeyFileError(f"only one key: nothing to {step}; add one first")
    if step is RotationStep.PROMOTE:
        return [keys[1], keys[0], *keys[2:]]
    return keys[:1]
