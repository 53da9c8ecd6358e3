"""What the new holder of a record does with it, and which voter claims it first. Free of state.

A request is never sent again on a guess: only where it is proven not to have run (never sent, or rejected at once),
or where its class lets it be repeated; otherwise it ends as failed, in doubt. A request past its deadline ends as
failed at once. `leases.py` carries the decisions out, `takeover.py` the order of claims.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from decklb.handoff.records import Outcome, Record, Stage
from decklb.interface import Effect


class TakeoverAction(Enum):
    """What a new holder does with a request. The values are those of the log line `handoff-resumed`."""

    SEND = "send"  # send it to an engine, as a new attempt
    SEND_WITH_KEY = "send-keyed"  # send it again under its own key, by which the engine deduplicates
    RETURN_ANSWER = "hold"  # its answer is known: give it to the client that comes back
    FAIL = "fail"  # end it as failed, and retain that for the client


@dataclass(frozen=True, slots=True)
class TakeoverDecision:
    """The action chosen for one record."""

    action: TakeoverAction
    record: Record  # its next version, where the action is FAIL; else as it was
    reason: str  # a stable code for the log


def decide_takeover(record: Record, now: float) -> TakeoverDecision:
    """What the new holder does with a record; `now` is on the clock of its deadline, in ms."""
    answered = record.stage is Stage.ANSWERED
    if answered and (record.answer_retained or record.effect is not Effect.SAFE or now > record.deadline_ms):
        return TakeoverDecision(TakeoverAction.RETURN_ANSWER, record, "answered")
    if now > record.deadline_ms:
        return _fail(record, "deadline")
    if record.stage is Stage.QUEUED:
        return TakeoverDecision(TakeoverAction.SEND, record, "never-ran")
    if record.effect is Effect.SAFE:
        return TakeoverDecision(TakeoverAction.SEND, record, "repeatable")
    if record.effect is Effect.KEYED:
        return TakeoverDecision(TakeoverAction.SEND_WITH_KEY, record, "deduplicated")
    return _fail(record, "in-doubt")


def _fail(record: Record, reason: str) -> TakeoverDecision:
    return TakeoverDecision(TakeoverAction.FAIL, record.with_local_outcome(Outcome.FAILED, reason), reason)


def claim_rank(record: Record, member: str, alive: Mapping[str, int]) -> int | None:
    """How many voters claim a record before this member does.

    Args:
        record: A replica kept here.
        member: This member's own name.
        alive: The members alive in its view, with the incarnation of each.

    Returns:
        0 for the first claimer. None if the member has no turn, or the holder is alive in the record's incarnation.
    """
    if alive.get(record.holder) == record.holder_incarnation or member not in record.voters:
        return None
    # A holder that restarted comes last: it has forgotten the record, unless it has a store.
    order = [voter for voter in record.voters if voter in alive and voter != record.holder] + [record.holder]
    return order.index(member) if member in order else None
