"""The key file: a ring of keys as JSON, readable by its owner alone. The first key seals, all open.

Read by `runtime` at the start and at each reload; written by `decklb keys`. It is replaced whole or not at all.
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

# Keys in a ring: during a rotation two are needed; more only pile up.
MAX_KEYS = 8

FILE_MODE = 0o600
OTHERS_MODE_BITS = 0o077


class RotationStep(StrEnum):
    """One step of replacing the key; each is to be brought to all members before the next."""

    ADD = "add"  # a new key opens, as the second of the ring
    PROMOTE = "promote"  # the second key seals from now on
    DROP = "drop"  # all but the first go


class _KeyRecord(msgspec.Struct, frozen=True):
    """One key as the file has it."""

    key: str  # base64
    created: str = msgspec.field(name="made")


class _KeyRing(msgspec.Struct, frozen=True):
    """The file's content."""

    version: int
    keys: list[_KeyRecord]


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a ring.

    Attributes:
        secret: `KEY_BYTES` random bytes.
        created: when, as ISO 8601 text.
    """

    secret: bytes
    created: str

    @property
    def name(self) -> str:
        """Its id in hex, which may be shown."""
        return key_id(self.secret).hex()


def read(path: str) -> list[Key]:
    """Read a ring. Raises KeyFileError if it is missing, readable by others, or not a key file."""
    data = _read_private(path)
    try:
        ring = msgspec.json.decode(data, type=_KeyRing)
        keys = [Key(base64.b64decode(record.key, validate=True), record.created) for record in ring.keys]
    except (msgspec.DecodeError, ValueError) as error:
        raise KeyFileError(f"{path}: is no key file: {error}") from error
    if ring.version != FILE_VERSION:
        raise KeyFileError(f"{path}: version {ring.version}; this program reads version {FILE_VERSION}")
    if not 1 <= len(keys) <= MAX_KEYS or any(len(key.secret) != KEY_BYTES for key in keys):
        raise KeyFileError(f"{path}: 1 to {MAX_KEYS} keys of {KEY_BYTES} bytes would be right")
    if len({key.secret for key in keys}) != len(keys):
        raise KeyFileError(f"{path}: a key stands there twice")
    return keys


def _read_private(path: str) -> bytes:
    try:
        mode = stat.S_IMODE(os.stat(path).st_mode)
        if mode & OTHERS_MODE_BITS:
            raise KeyFileError(f"{path}: mode {mode:04o} lets others read keys; chmod 0600 would be right")
        return Path(path).read_bytes()
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}; `decklb keys new` makes one") from error


def write(path: str, keys: list[Key], must_be_new: bool = False) -> None:
    """Write a ring, whole or not at all.

    Args:
        path: of the key file.
        keys: the ring, the key that seals first.
        must_be_new: refuse to replace a file.

    Raises:
        KeyFileError: if the file can't be written, or is there and must not be.
    """
    if must_be_new and os.path.exists(path):
        raise KeyFileError(f"{path}: is there already; `decklb keys rotate` changes it")
    records = [_KeyRecord(base64.b64encode(key.secret).decode(), key.created) for key in keys]
    data = msgspec.json.format(msgspec.json.encode(_KeyRing(FILE_VERSION, records)), indent=1)
    temporary = f"{path}.new"
    try:
        # Another process, or a reload, must never read half of it, nor others any of it.
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
    """A new random key."""
    return Key(os.urandom(KEY_BYTES), datetime.now(UTC).isoformat(timespec="seconds"))


def rotate(keys: list[Key], step: RotationStep, new_key: Key) -> list[Key]:
    """The ring after a step; `new_key` is used by `RotationStep.ADD` alone. Raises KeyFileError where it can't be."""
    if step is RotationStep.ADD:
        if len(keys) >= MAX_KEYS:
            raise KeyFileError(f"{MAX_KEYS} keys already; drop old ones first")
        return [keys[0], new_key, *keys[1:]]
    if len(keys) < 2:
        raise KeyFileError(f"only one key: nothing to {step}; add one first")
    if step is RotationStep.PROMOTE:
        return [keys[1], keys[0], *keys[2:]]
    return keys[:1]
