"""Notices to former holders that a higher claim of their key was granted.

A former holder's lease rests on this voter's answers, so it is told at once, and first of all on each new connection.
The state is the last claim granted for each key, until its record expires or is held here.
"""

from __future__ import annotations

from dataclasses import dataclass

from decklb.handoff.ballots import Ballot
from decklb.handoff.member_state import MemberState
from decklb.handoff.messages import Fenced
from decklb.handoff.records import Record


@dataclass(frozen=True, slots=True)
class _GrantedClaim:
    former_holder: str
    ballot: Ballot


class FencingNotices:
    """Tells former holders which of their keys were granted to others."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._granted: dict[str, _GrantedClaim] = {}  # by key

    def fence(self, record: Record, ballot: Ballot) -> None:
        """A claim of this record was granted here: its holder is told, and told again when it is connected anew."""
        self._granted[record.key] = _GrantedClaim(record.holder, ballot)
        if record.holder in self._state.fleet.connected:
            self._notify(record.key, record.holder, ballot)

    def on_connected(self, peer: str) -> None:
        """A member was connected: it is told of all that others were granted."""
        for key, claim in self._granted.items():
            if claim.former_holder == peer:
                self._notify(key, peer, claim.ballot)

    def _notify(self, key: str, holder: str, ballot: Ballot) -> None:
        term, claimer = ballot
        if holder != claimer:
            self._state.send(holder, Fenced(key, term, claimer))

    def forget(self, key: str) -> None:
        """The key is held here, or its record expired."""
        self._granted.pop(key, None)
