"""One connection to a RESP engine, which carries many attempts at a time.

Commands and replies are those of `engine_protocol`, their bytes those of `resp`. Dialing, idling and the logged end are
those of `wire.engine_connection`.

State: the attempts open on the connection. Owned by a pool of `net.engines`.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from decklb.interface import Outcome
from decklb.net import engine_protocol as protocol
from decklb.net import resp
from decklb.net.resp_call import MAX_PAGES, RespCall
from decklb.wire.engine_connection import ENDPOINT_REMOVED, IDLE_TIMEOUT, EngineConnection

if TYPE_CHECKING:
    from decklb.net.engines import RespPool

MAX_ABANDONED_IDS = 500  # request ids given up on a connection, before it takes no more attempts
# What ends an attempt at its engine is the arrival of the `undo`, and an attempt on another connection could overtake
# it; so long is waited where another may follow. 5 ms were too few once in some 10,000 (bd00dba5), 25 once in 65,000
# requests at a thousand a second with the machine too busy (88e438e8).
CANCEL_SETTLE_MS = 40.0
# A reply whose rest stays away, or a page that does, is not waited for until the request's own end: what follows on
# that connection never comes either. Counted in sweeps, so that a stall of our own is not taken for it: 6 sweeps of
# 100 ms. Whole replies came within 5 ms of their first byte and pages within 20 ms when measured (0656a3b9).
MAX_STALLED_SWEEPS = 6
WRITE_BLOCKED_LIMIT_MS = 20.0  # that bytes may lie in our transport before no further request joins them


class RespConnection(EngineConnection):
    """One connection to an engine."""

    pool: RespPool

    def __init__(self, pool: RespPool) -> None:
        super().__init__(pool)
        self.calls: dict[bytes, RespCall] = {}  # open attempts by request id, in the order in which they were added
        # Request ids that ended here without a result: a late reply must not end another attempt of the request.
        self.abandoned_ids: set[bytes] = set()
        self.retired = False  # its engine has gone or has moved
        self.quarantined = False  # an attempt timed out here, and nothing has come since
        self._stalled_sweeps = 0  # sweeps since the reply began that has come in part
        self._write_blocked_since: float | None = None  # ms, since when the transport has had bytes that are not sent
        self._reader = resp.RespReader()

    # Attempts.

    def accepts(self, request_id: bytes) -> bool:
        """Whether an attempt of this request may go on this connection."""
        return not (
            self.closed
            or self.retired
            or self.quarantined
            or request_id in self.calls
            or request_id in self.abandoned_ids
            or len(self.calls) >= self.pool.client.streams_per_connection
            or len(self.abandoned_ids) > MAX_ABANDONED_IDS
        )

    def add(self, call: RespCall) -> None:
        """Send the attempt, now or when the connection is up."""
        self.calls[call.request_id] = call
        self._schedule_idle_close()
        if self.connected and not self.write_blocked:
            self._send(call)

    def cancel(self, call: RespCall) -> None:
        """Nobody waits for this attempt any more."""
        if self.calls.pop(call.request_id, None) is None:
            return
        if call.sent:
            self.abandoned_ids.add(call.request_id)
            self.quarantined = self.quarantined or call.attempt.timed_out
            self._write(resp.pack(protocol.RELEASE if call.pages else protocol.CANCEL, call.request_id))
        self._schedule_idle_close()

    def _send(self, call: RespCall) -> None:
        attempt, now = call.attempt, self.pool.client.clock.now()
        if now > attempt.start_deadline_ms:  # it waited too long: its engine drains, or it may not be repeated now
            del self.calls[call.request_id]
            self._schedule_idle_close()
            attempt.end(Outcome.NEVER_SENT)
            return
        work = attempt.request.incoming
        fields = {
            protocol.CLASS_FIELD: work.request_class,
            protocol.BUDGET_FIELD: str(max(1, int(attempt.deadline_ms - now))),
        }
        if work.deduplication_token:
            fields[protocol.TOKEN_FIELD] = work.deduplication_token
        call.sent = attempt.sent = True
        self._write(resp.pack(protocol.START, call.request_id, resp.pack_fields(fields), work.statement))

    # Writing. The transport tells each time that nothing is left to send.

    @property
    def write_blocked(self) -> bool:
        """Whether the engine does not take what it is sent. A request behind that would begin when nobody knows."""
        since = self._write_blocked_since
        return since is not None and self.pool.client.clock.now() - since > WRITE_BLOCKED_LIMIT_MS

    def _write(self, data: bytes) -> None:
        if self._write_blocked_since is None:
            self._write_blocked_since = self.pool.client.clock.now()
        self.transport.write(data)

    def connectionMade(self) -> None:
        """The handshake is over."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)
        self._schedule_idle_close()
        # Who waited may have left, and that may lie unread: this pass of reading comes to its end first.
        self.pool.client.clock.call_later(0.0, self._send_waiting)

    def resumeProducing(self) -> None:
        """All that was written has left."""
        if self._write_blocked_since is not None:
            self._write_blocked_since = None
            self._send_waiting()

    def _send_waiting(self) -> None:
        """Send what waited for the connection, or for the engine to read on."""
        for call in [call for call in self.calls.values() if not call.sent]:
            self._send(call)

    def stopProducing(self) -> None:
        """The connection is ending."""

    # Reading.

    def dataReceived(self, data: bytes) -> None:
        """Replies, split anywhere."""
        if self.closed:
            return
        self.quarantined = False
        try:
            for array in self._reader.feed(data):
                self._stalled_sweeps = 0
                if len(array) != 4:
                    raise resp.RespError("an answer has an id, a word, fields and a body")
                self._handle_reply(array[0], array[1], resp.read_fields(array[2]), array[3])
        except resp.RespError as error:
            self._abort(f"protocol: {error}")

    def sweep(self) -> None:
        """Called at a steady pace: end the connection if the rest of a reply stays away."""
        self._stalled_sweeps = self._stalled_sweeps + 1 if self._reader.buffer else 0
        page_stalled = False
        for call in self.calls.values():
            if call.pages:
                call.stalled_sweeps += 1
                page_stalled = page_stalled or call.stalled_sweeps > MAX_STALLED_SWEEPS
        if page_stalled or self._stalled_sweeps > MAX_STALLED_SWEEPS:
            self._abort("page-timeout" if page_stalled else "incomplete-reply-timeout")

    def _handle_reply(self, request_id: bytes, word: bytes, fields: dict[str, str], body: bytes) -> None:
        call = self.calls.get(request_id)
        if call is None or not call.sent:  # given up before, answered before, or nobody's
            return
        if word == protocol.PROGRESS:
            self._report_progress(call, fields)
        elif word == protocol.FIRST_PAGE and not call.pages:
            count = _parse_count(fields.get(protocol.PAGE_COUNT_FIELD, "1"), 1, MAX_PAGES)
            if count is None:
                raise resp.RespError("no number of pages")
            call.begin_result(count, body)
            self._write(b"".join(resp.pack(protocol.GET_PAGE, request_id, b"%d" % page) for page in range(1, count)))
            self._end_if_complete(call)
        elif word == protocol.PAGE and call.pages:
            number = _parse_count(fields.get(protocol.PAGE_NUMBER_FIELD, ""), 1, len(call.pages) - 1)
            if number is None:
                raise resp.RespError("no such page")
            call.add_page(number, body)
            self._end_if_complete(call)
        elif word in protocol.OUTCOMES:  # who has begun a result, or told of progress, can't say that it never ran
            self._end_call(call, Outcome.ERROR if call.has_run else protocol.OUTCOMES[word])
        elif word not in (protocol.FIRST_PAGE, protocol.PAGE):  # of these, a second copy
            raise resp.RespError("unknown word")

    def _end_if_complete(self, call: RespCall) -> None:
        result = call.complete_result()
        if result is not None:
            self._end_call(call, Outcome.SUCCESS, result)

    def _end_call(self, call: RespCall, outcome: Outcome, result: bytes = b"") -> None:
        del self.calls[call.request_id]
        if call.pages:  # the engine keeps them until it is told
            self._write(resp.pack(protocol.RELEASE, call.request_id))
        if outcome is not Outcome.SUCCESS:
            self.abandoned_ids.add(call.request_id)
        self._schedule_idle_close()
        self.recent_answers.answered(call.attempt, outcome, result)

    def _report_progress(self, call: RespCall, fields: dict[str, str]) -> None:
        kind = protocol.PROGRESS_KINDS.get(fields.get(protocol.PROGRESS_KIND_FIELD, ""))
        if kind is not None:
            try:
                level = float(fields.get(protocol.PROGRESS_LEVEL_FIELD, ""))
                call.has_run = call.has_run or (kind != protocol.PROGRESS_WAITING and level > 0)
                call.attempt.report_progress(kind, level)
            except ValueError:
                logger.debug(
                    "progress note without a number from {engine}",
                    event="progress-note-invalid",
                    engine=self.pool.engine,
                )

    # Its end.

    def _schedule_idle_close(self) -> None:
        """An unused connection closes before the engine closes it, at once if it is retired."""
        if self._timer is not None:
            self._cancel_timer()
        if self.connected and not self.closed and not self.calls:
            delay_ms = 0.0 if self.retired else self.pool.client.idle_timeout_ms
            self._timer = self.pool.client.clock.call_later(delay_ms, self._close_unused)

    def _close_unused(self) -> None:
        self._close_idle(ENDPOINT_REMOVED if self.retired else IDLE_TIMEOUT)

    def _before_close(self) -> None:
        self.transport.unregisterProducer()

    def retire(self) -> None:
        """No new attempt; close once what is out has ended.

        What is not up yet never comes up: its address may be another engine's by then.
        """
        self.retired = True
        if not self.connected:
            self._cancel_dial()
        self._schedule_idle_close()

    def _abort(self, reason: str) -> None:
        """Break off. What was out may have run; it is out until the engine has learnt of the end."""
        self.end_reason = reason
        self.transport.abortConnection()
        self._leave_pool(CANCEL_SETTLE_MS)
        self._end_calls(Outcome.CONNECTION_RESET, CANCEL_SETTLE_MS)

    def _outcome_of_loss(self) -> Outcome:
        return Outcome.CONNECTION_RESET

    def _ended(self, outcome: Outcome) -> None:
        uncertain_answers = self._leave_pool()
        aborted_attempts = len(self.calls)
        self._end_calls(outcome)
        self._log_end(aborted_attempts, uncertain_answers)

    def _leave_pool(self, delay_ms: float = 0.0) -> int:
        self.pool.client.connections.discard(self)
        return super()._leave_pool(delay_ms)

    def _end_calls(self, outcome: Outcome, delay_ms: float = 0.0) -> None:
        """End what was open; `delay_ms`: until the engine surely knows of the connection's end."""
        calls, self.calls = list(self.calls.values()), {}
        for call in calls:
            if not call.sent:
                call.attempt.end(outcome if outcome is Outcome.NEVER_SENT else Outcome.UNREACHABLE)
            elif delay_ms:
                self.pool.client.clock.call_later(delay_ms, partial(call.attempt.end, outcome))
            else:
                call.attempt.end(outcome)


def _parse_count(text: str, least: int, most: int) -> int | None:
    return int(text) if text.isascii() and text.isdigit() and least <= int(text) <= most else None
