"""Settings from files: the platform's JSON, and the operators' XML with its schema."""

from decklb.config.errors import ConfigError, Fault, SettingsError
from decklb.config.platform import Address, Config, address, from_raw, load

__all__ = ["Address", "Config", "ConfigError", "Fault", "SettingsError", "address", "from_raw", "load"]
