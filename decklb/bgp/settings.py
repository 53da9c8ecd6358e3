"""Settings of the BGP speaker: the `bgp` section of the configuration."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from decklb.bgp import messages as bgp

DEFAULT_HOLD_TIME_S = 90  # suggested by RFC 4271, section 10
MAX_HOLD_TIME_S = (1 << 16) - 1  # two octets on the wire
MAX_ASN = (1 << 32) - 1  # four octets on the wire


@dataclass(slots=True)
class PeerSettings:
    """Settings of one peer.

    Attributes:
        address: Host and port to connect to.
        asn: The AS number that the peer must send in its OPEN.
    """

    address: tuple[str, int]
    asn: int


@dataclass(slots=True)
class BgpSettings:
    """The speaker's settings.

    Attributes:
        asn: Our AS number.
        bgp_identifier: Our BGP Identifier in dotted-quad notation.
        next_hop: The next hop of the announced routes.
        prefixes: The routes to announce while the program is ready.
        hold_time_s: The hold time that we propose; 0: none. The lower of both sides' proposals applies.
        peers: The peers to connect to.
    """

    asn: int
    bgp_identifier: str
    next_hop: str
    prefixes: list[str]
    hold_time_s: int = DEFAULT_HOLD_TIME_S
    peers: list[PeerSettings] = field(default_factory=list)

    @classmethod
    def from_raw(cls, raw: dict[str, Any], parse_address: Callable[[str], tuple[str, int]]) -> BgpSettings:
        """Parse and validate the section; `parse_address` parses "host:port". Raises ValueError or KeyError."""
        peers = [PeerSettings(parse_address(peer["address"]), int(peer["asn"])) for peer in raw["peers"]]
        settings = cls(
            asn=int(raw["asn"]),
            bgp_identifier=raw["router"],
            next_hop=raw.get("next_hop", raw["router"]),
            prefixes=list(raw["prefixes"]),
            hold_time_s=int(raw.get("hold", DEFAULT_HOLD_TIME_S)),
            peers=peers,
        )
        settings.check()
        return settings

    def check(self) -> None:
        """Raise ValueError for values that can't be encoded in a message."""
        hold_time_valid = self.hold_time_s == 0 or bgp.MIN_HOLD_TIME_S <= self.hold_time_s <= MAX_HOLD_TIME_S
        if not hold_time_valid or not 0 < self.asn <= MAX_ASN:
            raise ValueError("bgp: hold is 0 or 3 to 65535 s, asn 1 to 4294967295")
        bgp.pack_announcement(self.prefixes, self.next_hop, self.asn, internal=True, four_octet_asn=True)
        bgp.pack_open(self.asn, self.hold_time_s, self.bgp_identifier)
