"""The section `engines`: a fixed list of engines, translated into the format of the service directory."""

from __future__ import annotations

from functools import partial
from typing import Any

from lxml import etree

from decklb.config.document import SettingsDocument
from decklb.config.model import parse_address


def translate_engines(document: SettingsDocument, raw: dict[str, Any]) -> None:
    """Write the list into the raw configuration."""
    if (engines := document.root.find("engines")) is None:
        return
    document.check_unique(engines, "id", "engine")
    for element in engines:
        document.check(element, partial(parse_address, str(element.attrib["address"])))
    index = int(engines.get("list", "1"))
    instances = [_instance_entry(element) for element in engines]
    raw["known"] = {
        "index": index,
        "updates": [{"index": index, "endpoints": {"generation": 1, "reset": True, "instances": instances}}],
    }


def _instance_entry(element: etree._Element) -> dict[str, Any]:
    return {
        "instanceId": element.attrib["id"],
        "hostPort": element.attrib["address"],
        "zone": element.get("zone", ""),
        "machineType": element.get("kind", ""),
        "cell": int(element.get("cell", "0")),
        "lifecycle": "Terminating" if element.get("state") == "draining" else "Ready",
        "weight": float(element.get("weight", "1")),
        "startedAtMs": 0,  # 0: started long ago
    }
