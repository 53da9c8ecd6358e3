"""Errors of settings files."""

from __future__ import annotations

from dataclasses import dataclass


class ConfigError(Exception):
    """The configuration can't be used; the message says why."""


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One fault of a file."""

    file: str
    line: int  # 0 for the file as a whole
    text: str  # what is wrong, and what would be right

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}"


class SettingsError(ConfigError):
    """All faults of a file, found in one go; one line each."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults
