"""What a new holder does with a request it took over, and who claims it (free of I/O).

Never a guess: a request is sent again only where it is proven not to have run (never sent, or FULL), or where its class
lets it be repeated; otherwise it ends as failed, in doubt. A request past its deadline ends as failed at once.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from decklb.handoff.records import Outcome, Record, Stage
from decklb.handoff.settings import HandoffSettings
from decklb.interface import Effect


class Step(Enum):
    """What a new owner does with a request that it takes over."""

    SEND = "send"  # send it to an engine, as a new attempt
    SEND_KEYED = "send-keyed"  # send it again under its own key, which the engine deduplicates
    HOLD = "hold"  # its answer is here: give it to the client that comes back
    FAIL = "fail"  # end it as failed, and hold that for the client


@dataclass(frozen=True, slots=True)
class Decision:
    """The step chosen for one record, and why."""

    step: Step
    record: Record
    reason: str  # a stable code for the log


def decide(record: Record, now: float, settings: HandoffSettings) -> Decision:
    """What the holder of a record taken over does with it."""
    if record.stage is Stage.ANSWERED and (
        record.answer_retained or record.effect is not Effect.SAFE or now > record.deadline_ms
    ):
        return Decision(Step.HOLD, record, "answered")
    if now > record.deadline_ms:
        return Decision(Step.FAIL, record.with_local_outcome(Outcome.FAILED, "deadline"), "deadline")
    if record.stage is Stage.QUEUED:
        return Decision(Step.SEND, record, "never-ran")
    if record.effect is Effect.SAFE:
        return Decision(Step.SEND, record, "repeatable")
    if record.effect is Effect.KEYED:
        return Decision(Step.SEND_KEYED, record, "deduplicated")
    return Decision(Step.FAIL, record.with_local_outcome(Outcome.FAILED, "in-doubt"), "in-doubt")


def turn(record: Record, me: str, alive: Mapping[str, int]) -> int | None:
    """Which turn of those alive in this view (by name, with the run of each) `me` has in claiming a record: 0 claims
    first, the others grant unless they see nothing of it. None where it has none, or the owner lives in its run."""
    if alive.get(record.holder) == record.holder_incarnation or me not in record.voters:
        return None
    # An owner that came back is asked last: it has forgotten the record, unless it kept it on disk.
    order = [v for v in record.voters if v in alive and v != record.holder] + [record.holder]
    return order.index(me) if me in order else None


def lapsed(record: Record, now: float, settings: HandoffSettings) -> bool:
    """Past its deadline, the slack and the lingering: nobody needs it."""
    return now > record.deadline_ms + settings.deadline_grace_ms + settings.answer_retention_ms
