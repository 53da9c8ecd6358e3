"""Builders for the handoff's tests, and samples of all messages and records with bytes in `tests/golden/handoff/`.

Messages are built with positional arguments, in the order of the fields on the wire.
"""

from msgspec.structs import replace

from decklb.handoff import messages
from decklb.handoff.records import Outcome, Record, fingerprint
from decklb.handoff.settings import HandoffSettings
from decklb.interface import Effect

SMALL_SETTINGS = HandoffSettings(
    max_records=4, lease_ms=1000.0, max_clock_drift=0.0, answer_retention_ms=100.0, deadline_grace_ms=0.0
)
VOTERS = ("s1", "s2", "s3")
BODY = b"select 1 -- a request"
MEMBERS = ("m0", "m1", "m2")


def new_record(key="key-1", effect=Effect.SAFE, holder="m9", incarnation=77):
    """A request in the version that its holder replicates first."""
    return Record(
        key, holder, 3, 0, "cusco", "consulta", effect, 5000.25, fingerprint(BODY), MEMBERS, incarnation, True
    )


def small_record(key="k", effect=Effect.SAFE, **changes):
    """A request held by member o, which is not one of its voters."""
    sample = Record(key, "o", 1, 0, "cusco", "consulta", effect, 5000.0, fingerprint(key.encode()), voters=VOTERS)
    return replace(sample, **changes)


def records():
    """One record for each stage and transition."""
    first = new_record()
    attempted = first.with_attempt("engine-1", b"\x00\x01cancel")
    return {
        "queued": first,
        "keyed": new_record("key-2", Effect.KEYED),
        "unsafe": new_record("key-3", Effect.UNSAFE),
        "attempted": attempted,
        "cancel-token": attempted.with_cancel_token(b"\x02other"),
        "attempt-rejected": attempted.with_attempt_rejected(),
        "answered": attempted.with_answer(Outcome.SERVED, b"rows", 100, "done"),
        "answer-too-large": attempted.with_answer(Outcome.SERVED, b"rows", 3),
        "failed-locally": attempted.with_local_outcome(Outcome.FAILED, "in-doubt"),
        "taken-over": attempted.transferred_to("m1", 9, 78),
        "bare": Record("k", "", 0, 0, "t", "c", Effect.SAFE, 0.0, ""),
        "refused": replace(first, outcome=Outcome.REJECTED),
    }


def messages_by_tag():
    """Messages of all tags, in the order of the tags, with and without their optional fields."""
    types = messages.Message.__args__
    replicate, ack, reject, heartbeat, heartbeat_ack, fenced, claim, grant, claim_reject, lookup, reply, release = types
    record = records()["attempted"]
    return {
        "1-replicate": replicate(record, 4750.5, 20.25, 1000.125, True, BODY),
        "1-replicate-without-body": replicate(records()["answered"], -3.0, 0.0, 5.0, False),
        "2-ack": ack("key-1", 3, 2, 1000.125),
        "3-reject": reject("key-1", 3, 1, 1000.125, "m2", 8),
        "3-reject-short": reject("key-1", 3, 8, 1000.125),
        "4-heartbeat": heartbeat(12.5),
        "5-heartbeat-ack": heartbeat_ack(12.5),
        "6-fenced": fenced("key-1", 9, "m2"),
        "7-claim": claim("key-1", 9),
        "8-grant": grant("key-1", 9, record, 400.75, BODY),
        "8-grant-of-nothing": grant("key-1", 9),
        "9-refuse": claim_reject("key-1", 9, 7, 12),
        "9-refuse-short": claim_reject("key-1", 9, 4),
        "10-lookup": lookup(41, "key-1", fingerprint(BODY)),
        "11-found": reply(41, 2, Outcome.FAILED, b"rows", "in-doubt"),
        "11-found-nothing": reply(41, 0),
        "12-release": release("key-1", 77),
    }


def greeting():
    """The first frame that each side sends."""
    return messages.Greeting(1, "m0", 77, 78, 35900.5, bytes(range(16)))
