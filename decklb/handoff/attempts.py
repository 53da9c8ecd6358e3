"""Progress of a held request: its attempts and its final answer take effect only once a quorum has recorded them.

The front calls this module through `HandoffCoordinator`. The only state is the record of each `HeldRequest`.
"""

from __future__ import annotations

from decklb.handoff.held_request import HeldRequest, QuorumCallback
from decklb.handoff.member_state import MemberState
from decklb.handoff.records import Outcome, Stage
from decklb.handoff.replication import Replicator


class Attempts:
    """Writes the progress of held requests into their records."""

    def __init__(self, state: MemberState, replicator: Replicator) -> None:
        self._state, self._replicator = state, replicator

    def begin(self, now: float, key: str, engine: str, on_quorum: QuorumCallback, cancel_token: bytes) -> None:
        """Record that an attempt is about to be sent.

        `on_quorum` is called with True once a quorum has the record, and the attempt may be sent; else with False.
        """
        held = self._state.held.get(key)
        if held is None or held.suspended or self._state.closed:
            on_quorum(False)
            return
        self._replicator.write(now, held, held.record.with_attempt(engine, cancel_token))
        self._replicator.await_quorum(now, held, lambda reached: self._on_attempt_quorum(now, held, reached, on_quorum))

    def _on_attempt_quorum(self, now: float, held: HeldRequest, reached: bool, on_quorum: QuorumCallback) -> None:
        if not reached and self._state.is_held(held):
            # The attempt was never sent; the request is resumed once a quorum answers again.
            held.record, held.suspended = held.record.with_attempt_rejected(), True
            self._replicator.write(now, held, held.record)
            self._state.supervised_keys[held.key] = None
        on_quorum(reached)

    def set_cancel_token(self, now: float, key: str, engine: str, cancel_token: bytes) -> None:
        """Record the token that cancels the attempt at an engine. Nothing waits for its replication."""
        held = self._state.held.get(key)
        if held is None or held.suspended:
            return
        if held.record.stage is Stage.SENT and held.record.engine == engine:
            self._replicator.write(now, held, held.record.with_cancel_token(cancel_token))

    def rejected(self, now: float, key: str) -> None:
        """Record that the attempt provably never ran."""
        held = self._state.held.get(key)
        if held is not None and held.record.stage is Stage.SENT:
            self._replicator.write(now, held, held.record.with_attempt_rejected())

    def complete(
        self, now: float, key: str, outcome: Outcome, answer: bytes, reason: str, on_quorum: QuorumCallback
    ) -> None:
        """Record the final answer.

        `on_quorum` is called with True once a quorum has the answer, and the client may receive it; else with False.
        """
        held = self._state.held.get(key)
        if held is None or held.record.stage >= Stage.ANSWERED or self._state.closed:
            on_quorum(False)
            return
        answered = held.record.with_answer(outcome, answer, self._state.settings.max_answer_bytes, reason)
        self._replicator.write(now, held, answered)
        self._replicator.await_quorum(now, held, on_quorum)
