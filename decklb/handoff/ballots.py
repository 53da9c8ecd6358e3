"""Quorums of a record's voters, and a voter's side of claims: which ballots it granted.

This is the prepare phase of Paxos (Lamport, "The Part-Time Parliament", 1998) for each key: a voter grants a claim only
to a ballot above every one it granted before, and from then on refuses replicas of lower terms. The state here is the
highest ballot granted for each key; `RecordTable` owns it, and the store keeps it on disk with the records.
"""

from __future__ import annotations

from decklb.handoff.records import Record
from decklb.handoff.settings import HandoffSettings

Ballot = tuple[int, str]  # term, claimer: claims of one term are ordered by the claimer's name
_NO_BALLOT: Ballot = (-1, "")  # below every ballot


def quorum_of(record: Record, settings: HandoffSettings) -> int:
    """How many grants or acknowledgements a record needs: a majority of its voters."""
    return len(record.voters) // 2 + 1 if record.voters else settings.quorum


class GrantedBallots:
    """The highest ballot that this voter granted for each key: its fencing tokens."""

    def __init__(self, changed_keys: dict[str, None]) -> None:
        """`changed_keys` gathers the keys of which something changed, in order, for the store."""
        self._changed_keys = changed_keys
        self._granted: dict[str, Ballot] = {}

    def grant(self, key: str, ballot: Ballot) -> bool:
        """Grant a claim if its ballot is above all granted for the key; whether it was."""
        if ballot <= self._granted.get(key, _NO_BALLOT):
            return False
        self._granted[key] = ballot
        self._changed_keys[key] = None
        return True

    def admits(self, record: Record) -> bool:
        """Whether a replica may be acknowledged: not once a higher claim of its key was granted."""
        granted = self._granted.get(record.key)
        return granted is None or record.term > granted[0] or (record.term, record.holder) == granted

    def highest_term(self, key: str) -> int:
        """The highest term granted for a key; 0 for none."""
        return self._granted.get(key, (0, ""))[0]

    def require_above(self, key: str, term: int) -> None:
        """Admit only what is above a term: a record of it was released, and stale replicas may be about."""
        self._granted[key] = max((term, ""), self._granted.get(key, _NO_BALLOT))
        self._changed_keys[key] = None

    def granted(self, key: str) -> Ballot | None:
        """The ballot that was granted last for a key."""
        return self._granted.get(key)

    def forget(self, key: str) -> None:
        """Forget what was granted for a key, once no record of it can live."""
        self._changed_keys[key] = None
        self._granted.pop(key, None)
