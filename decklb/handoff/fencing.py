"""Notifies former holders that a higher claim of their key was granted.

A former holder's lease depends on this voter's answers, so it is notified at once, and before any other message on
each new connection. The state is the last claim granted for each key, until its record expires or is held here.
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
    """Notifies former holders of keys that were granted to other members."""

    def __init__(self, state: MemberState) -> None:
        self._state = state
        self._granted: dict[str, _GrantedClaim] = {}  # by key

    def fence(self, record: Record, ballot: Ballot) -> None:
        """Notify the holder of a record that a claim of it was granted here, now and after each reconnection."""
        self._granted[record.key] = _GrantedClaim(record.holder, ballot)
        if record.holder in self._state.fleet.connected:
            self._notify(record.key, record.holder, ballot)

    def on_connected(self, peer: str) -> None:
        """A connection to a member was established: notify it of all its keys that were granted to others."""
        for key, claim in self._granted.items():
            if claim.former_holder == peer:
                self._notify(key, peer, claim.ballot)

    def _notify(self, key: str, holder: str, ballot: Ballot) -> None:
        term, claimer = ballot
        if holder != claimer:
            self._state.send(holder, Fenced(key, term, claimer))

    def forget(self, key: str) -> None:
        """Stop notifying about a key: it is held here now, or its record expired."""
        self._granted.pop(key, None)
