"""Progress of a held request: its attempts at engines and its final answer, each known to a quorum before it counts.

Called by the front through `HandoffCoordinator`. The state is the record of each `HeldRequest`.
"""

from __future__ import annotations

from decklb.handoff.held_request import HeldRequest, QuorumCallback
from decklb.handoff.member_state import MemberState
from decklb.handoff.records import Outcome, Stage
from decklb.handoff.replication import Replicator


class Attempts:
    """Writes what happens to held requests into their records."""

    def __init__(self, state: MemberState, replicator: Replicator) -> None:
        self._state, self._replicator = state, replicator

    def begin(self, now: float, key: str, engine: str, on_quorum: QuorumCallback, cancel_token: bytes) -> None:
        """An attempt is to be sent; `on_quorum` is told whether it may be, once a quorum knows of it."""
        held = self._state.held.get(key)
        if held is None or held.suspended or self._state.closed:
            on_quorum(False)
            return
        self._replicator.write(now, held, held.record.with_attempt(engine, cancel_token))
        self._replicator.await_quorum(now, held, lambda reached: self._begun(now, held, reached, on_quorum))

    def _begun(self, now: float, held: HeldRequest, reached: bool, on_quorum: QuorumCallback) -> None:
        if not reached and self._state.is_held(held):
            # It was never sent; the request is taken up again once a quorum answers.
            held.record, held.suspended = held.record.with_attempt_rejected(), True
            self._replicator.write(now, held, held.record)
            self._state.supervised_keys[held.key] = None
        on_quorum(reached)

    def set_cancel_token(self, now: float, key: str, engine: str, cancel_token: bytes) -> None:
        """The attempt at an engine can be cancelled by this token from now on. Nobody waits for its replication."""
        held = self._state.held.get(key)
        if held is None or held.suspended:
            return
        if held.record.stage is Stage.SENT and held.record.engine == engine:
            self._replicator.write(now, held, held.record.with_cancel_token(cancel_token))

    def rejected(self, now: float, key: str) -> None:
        """The attempt provably never ran."""
        held = self._state.held.get(key)
        if held is not None and held.record.stage is Stage.SENT:
            self._replicator.write(now, held, held.record.with_attempt_rejected())

    def complete(
        self, now: float, key: str, outcome: Outcome, answer: bytes, reason: str, on_quorum: QuorumCallback
    ) -> None:
        """The final answer is known; `on_quorum` is told whether it may be given, once a quorum has it."""
        held = self._state.held.get(key)
        if held is None or held.record.stage >= Stage.ANSWERED or self._state.closed:
            on_quorum(False)
            return
        answered = held.record.with_answer(outcome, answer, self._state.settings.max_answer_bytes, reason)
        self._replicator.write(now, held, answered)
        self._replicator.await_quorum(now, held, on_quorum)
