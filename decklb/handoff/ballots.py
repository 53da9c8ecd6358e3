"""Quorums of a record's voters, and the ballots that this member granted as a voter.

This is the prepare phase of Paxos (Lamport, "The Part-Time Parliament", 1998) for each key: a voter grants a claim only
if its ballot is above all those it granted before, and from then on rejects replicas of lower terms. The state is the
highest ballot granted for each key. `RecordTable` owns it, and the store keeps it on disk with the records.
"""

from __future__ import annotations

from decklb.handoff.records import Record
from decklb.handoff.settings import HandoffSettings

Ballot = tuple[int, str]  # term and claimer; claims of the same term are ordered by the claimer's name
_NO_BALLOT: Ballot = (-1, "")  # below every ballot


def quorum_of(record: Record, settings: HandoffSettings) -> int:
    """Return the number of grants or acknowledgements that a record needs: a majority of its voters."""
    return len(record.voters) // 2 + 1 if record.voters else settings.quorum


class GrantedBallots:
    """The highest ballot that this voter granted for each key; these ballots act as fencing tokens."""

    def __init__(self, changed_keys: dict[str, None]) -> None:
        """`changed_keys` collects the keys whose entries changed, in order, for the store."""
        self._changed_keys = changed_keys
        self._granted: dict[str, Ballot] = {}

    def grant(self, key: str, ballot: Ballot) -> bool:
        """Grant a claim if its ballot is above all those granted for the key; return whether it was granted."""
        if ballot <= self._granted.get(key, _NO_BALLOT):
            return False
        self._granted[key] = ballot
        self._changed_keys[key] = None
        return True

    def admits(self, record: Record) -> bool:
        """Whether a replica may be acknowledged: no higher claim of its key has been granted."""
        granted = self._granted.get(record.key)
        return granted is None or record.term > granted[0] or (record.term, record.holder) == granted

    def highest_term(self, key: str) -> int:
        """Return the highest term granted for a key, or 0 if none was."""
        return self._granted.get(key, (0, ""))[0]

    def require_above(self, key: str, term: int) -> None:
        """Admit only terms above `term`: its record was released, but stale replicas of it may still arrive."""
        self._granted[key] = max((term, ""), self._granted.get(key, _NO_BALLOT))
        self._changed_keys[key] = None

    def granted(self, key: str) -> Ballot | None:
        """Return the ballot granted last for a key, if any."""
        return self._granted.get(key)

    def forget(self, key: str) -> None:
        """Forget the ballot granted for a key, once no record of the key can exist any more."""
        self._changed_keys[key] = None
        self._granted.pop(key, None)
