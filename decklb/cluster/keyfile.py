"""The key file: JSON, readable by its owner alone. The first key seals, all open."""

from __future__ import annotations

import base64
import os
import stat
from dataclasses import dataclass
from datetime import UTC, datetime
from pathlib import Path

import msgspec

from decklb.cluster.errors import KeyFileError
from decklb.cluster.sealing import KEY_BYTES, key_id

MOST_KEYS = 8
MODE = 0o600


class _Key(msgspec.Struct, frozen=True):
    key: str  # base64
    made: str


class _File(msgspec.Struct, frozen=True):
    version: int
    keys: list[_Key]


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a ring."""

    secret: bytes
    made: str

    @property
    def ident(self) -> str:
        """What may be shown."""
        return key_id(self.secret).hex()


def read(path: str) -> list[Key]:
    """The ring. Raises KeyFileError."""
    try:
        mode = stat.S_IMODE(os.stat(path).st_mode)
        if mode & 0o077:
            raise KeyFileError(f"{path}: mode {mode:04o} lets others read keys; chmod 0600 would be right")
        data = Path(path).read_bytes()
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}; `decklb keys new` makes one") from error
    try:
        found = msgspec.json.decode(data, type=_File)
        keys = [Key(base64.b64decode(k.key, validate=True), k.made) for k in found.keys]
    except (msgspec.DecodeError, ValueError) as error:
        raise KeyFileError(f"{path}: is no key file: {error}") from error
    if found.version != 1:
        raise KeyFileError(f"{path}: version {found.version}; this program reads version 1")
    if not 1 <= len(keys) <= MOST_KEYS or any(len(k.secret) != KEY_BYTES for k in keys):
        raise KeyFileError(f"{path}: 1 to {MOST_KEYS} keys of {KEY_BYTES} bytes would be right")
    if len({k.secret for k in keys}) != len(keys):
        raise KeyFileError(f"{path}: a key stands there twice")
    return keys


def write(path: str, keys: list[Key], fresh: bool = False) -> None:
    """Put a ring there, whole or not at all. Raises KeyFileError; `fresh` never replaces one."""
    if fresh and os.path.exists(path):
        raise KeyFileError(f"{path}: is there already; `decklb keys rotate` changes it")
    data = msgspec.json.format(
        msgspec.json.encode(_File(1, [_Key(base64.b64encode(k.secret).decode(), k.made) for k in keys])), indent=1
    )
    part = f"{path}.new"
    try:
        # Another process, or a reload, must never read half of it, nor others any of it.
        file = os.open(part, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, MODE)
        with os.fdopen(file, "wb") as out:
            os.fchmod(out.fileno(), MODE)
            out.write(data + b"\n")
            out.flush()
            os.fsync(out.fileno())
        os.replace(part, path)
    except OSError as error:
        raise KeyFileError(f"{path}: {error.strerror}") from error


def make(secret: bytes | None = None, made: str = "") -> Key:
    """A new key."""
    return Key(secret or os.urandom(KEY_BYTES), made or datetime.now(UTC).isoformat(timespec="seconds"))


def rotate(keys: list[Key], step: str, fresh: Key) -> list[Key]:
    """One step of three, each to be brought to all members before the next. Raises KeyFileError.

    `add`: a new key that opens, as the second. `promote`: the second seals from now on. `drop`: all but the first go.
    """
    if step == "add":
        if len(keys) >= MOST_KEYS:
            raise KeyFileError(f"{MOST_KEYS} keys already; drop old ones first")
        return [keys[0], fresh, *keys[1:]]
    if len(keys) < 2:
        raise KeyFileError(f"only one key: nothing to {step}; add one first")
    if step == "promote":
        return [keys[1], keys[0], *keys[2:]]
    return keys[:1]
