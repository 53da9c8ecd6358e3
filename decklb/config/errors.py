"""What is wrong with a file of settings."""

from __future__ import annotations

from dataclasses import dataclass


class ConfigError(Exception):
    """The configuration can't be used; the message says why."""


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One fault of a file; `line` 0 is the file as a whole."""

    file: str
    line: int
    text: str

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}"


class SettingsError(ConfigError):
    """All faults of a file, found in one go; one line each."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults
