"""The section `bgp`: routers and the prefixes announced to them."""

from __future__ import annotations

from typing import Any

from decklb.config.document import SettingsDocument
from decklb.config.units import parse_duration_ms

MS_PER_S = 1000  # the raw configuration has the hold time in seconds, as in BGP


def translate_bgp(document: SettingsDocument, raw: dict[str, Any]) -> None:
    """Write the section into the raw configuration."""
    if (bgp := document.root.find("bgp")) is None:
        return
    section: dict[str, Any] = {
        "asn": int(bgp.attrib["asn"]),
        "router": bgp.attrib["router"],
        "prefixes": [prefix.text or "" for prefix in bgp.findall("prefix")],
        "peers": [{"address": peer.attrib["address"], "asn": int(peer.attrib["asn"])} for peer in bgp.findall("peer")],
    }
    if "next-hop" in bgp.attrib:
        section["next_hop"] = bgp.attrib["next-hop"]
    if "hold" in bgp.attrib:
        section["hold"] = parse_duration_ms(bgp.attrib["hold"]) / MS_PER_S
    raw["bgp"] = section
