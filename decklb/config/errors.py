"""Errors in configuration files."""

from __future__ import annotations

from dataclasses import dataclass


class ConfigError(Exception):
    """The configuration is unusable; the message gives the reason."""


@dataclass(frozen=True, slots=True, order=True)
class Fault:
    """One fault in a configuration file."""

    file: str
    line: int  # 0 for the file as a whole
    text: str  # what is wrong and what would be accepted

    def __str__(self) -> str:
        return f"{self.file}:{self.line}: {self.text}"


class SettingsError(ConfigError):
    """All faults of a settings file; the message has one line for each."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults
