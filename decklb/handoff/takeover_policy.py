"""Decides what the new holder of a record does with the request, and in which order voters claim a record.

A request is sent again only if it provably has not run (never sent, or rejected at once) or if its class allows
repeated execution; otherwise it ends as failed, with its execution in doubt. A request past its deadline ends as
failed at once. The functions are stateless. `leases.py` carries out the decisions, `takeover.py` applies the order of
claims.
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
    SEND_WITH_KEY = "send-keyed"  # send it again with its own key, by which the engine deduplicates it
    RETURN_ANSWER = "hold"  # its answer is known: give it to the client when it retries
    FAIL = "fail"  # end it as failed, and retain that answer for the client


@dataclass(frozen=True, slots=True)
class TakeoverDecision:
    """The action for one record."""

    action: TakeoverAction
    record: Record  # its next version if the action is FAIL, else unchanged
    reason: str  # a stable code for the log


def decide_takeover(record: Record, now: float) -> TakeoverDecision:
    """Decide what the new holder does with a record; `now` is in ms on the clock of the record's deadline."""
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
    """Return the number of voters that claim a record before this member does.

    Args:
        record: A replica that this member has.
        member: This member's name.
        alive: The live members in this member's view, with their incarnations.

    Returns:
        0 for the first claimer. None if the member doesn't claim, or the holder is alive in the record's incarnation.
    """
    if alive.get(record.holder) == record.holder_incarnation or member not in record.voters:
        return None
    # A restarted holder comes last: it has forgotten the record unless it has a store.
    order = [voter for voter in record.voters if voter in alive and voter != record.holder] + [record.holder]
    return order.index(member) if member in order else None
