"""The section `process`: name, addresses and limits of the process."""

from __future__ import annotations

from functools import partial
from typing import Any

from decklb.config.document import SettingsDocument
from decklb.config.model import parse_address
from decklb.config.units import parse_size_bytes

BYTES_PER_MB = 1 << 20


def translate_process(document: SettingsDocument, raw: dict[str, Any]) -> None:
    """Write the section into the raw configuration."""
    if (process := document.root.find("process")) is None:
        return
    raw.update({key: process.attrib[key] for key in ("name", "listen", "resolver") if key in process.attrib})
    limits = dict(raw.get("limits") or {})
    if "sockets" in process.attrib:
        limits["sockets"] = int(process.attrib["sockets"])
    if "memory" in process.attrib:
        limits["memory_mb"] = parse_size_bytes(process.attrib["memory"]) / BYTES_PER_MB
    raw["limits"] = limits
    for key in ("listen", "resolver"):
        if key in process.attrib:
            document.check(process, partial(parse_address, str(process.attrib[key])))
