"""Configuration files: the platform's JSON, and the operators' XML settings with their schema."""

from decklb.config.errors import ConfigError, Fault, SettingsError
from decklb.config.loading import load
from decklb.config.model import Address, Config, parse_address
from decklb.config.platform import from_raw

__all__ = ["Address", "Config", "ConfigError", "Fault", "SettingsError", "from_raw", "load", "parse_address"]
