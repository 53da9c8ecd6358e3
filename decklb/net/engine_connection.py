"""A connection to a RESP engine, which carries many attempts at a time.

`engine_protocol` defines the commands and replies, `resp` their encoding. Dialing, the idle time-out and the log of its
end are inherited from `wire.engine_connection`.

State: the open attempts of the connection. Owned by a pool of `net.engines`.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from decklb.core.memory_account import HeldKind
from decklb.interface import Outcome
from decklb.net import engine_protocol as protocol
from decklb.net import resp
from decklb.net.resp_call import MAX_PAGES, RespCall
from decklb.wire.engine_connection import ENDPOINT_REMOVED, IDLE_TIMEOUT, EngineConnection

if TYPE_CHECKING:
    from decklb.net.engines import RespPool

MAX_ABANDONED_IDS = 500  # abandoned request ids above which a connection accepts no more attempts
# Delay before another attempt of a request may start after a cancellation: the engine ends the attempt only when the
# `undo` arrives, which an attempt on another connection could overtake.
CANCEL_SETTLE_MS = 40.0
# Sweeps (every 100 ms) without progress after which an incomplete reply or a missing page ends the connection, well
# before the deadline of the request: nothing behind it on the connection would arrive either. Counted in sweeps so that
# a stall of this process does not count.
MAX_STALLED_SWEEPS = 6
WRITE_BLOCKED_LIMIT_MS = 20.0  # time for which bytes may stay unsent before further requests are held back
MAX_UNSENT_BYTES = 131_072  # unsent bytes above which large requests are held back: a copy of each would be kept


class RespConnection(EngineConnection):
    """One connection to an engine."""

    pool: RespPool

    def __init__(self, pool: RespPool) -> None:
        super().__init__(pool)
        self.calls: dict[bytes, RespCall] = {}  # open attempts by request id, in the order they were added
        # Ids of requests whose attempt ended here without a result. They are not used again on this connection, since a
        # late reply would be taken for the reply to the new attempt.
        self.abandoned_ids: set[bytes] = set()
        self.retired = False  # its engine was removed or has moved
        self.quarantined = False  # an attempt timed out here and nothing was received since
        self._stalled_sweeps = 0  # sweeps since the current incomplete reply began
        self._write_blocked_since: float | None = None  # since when the transport has had unsent bytes, in ms
        self._unsent_bytes = 0  # written since the transport last had sent everything
        self._result_bytes = 0  # in the pages of open attempts
        self._holder = pool.client.account.holder(f"engine {pool.engine}")
        self._reader = resp.RespReader()

    # Attempts.

    def accepts(self, request_id: bytes) -> bool:
        """Whether an attempt of this request may be sent on this connection."""
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
        """Send the attempt, now or when the connection is ready."""
        self.calls[call.request_id] = call
        self._schedule_idle_close()
        if self.connected and self._may_send(call):
            self._send(call)

    def cancel(self, call: RespCall) -> None:
        """Cancel an attempt, because nobody waits for its result any more."""
        if not self._remove_call(call):
            return
        if call.sent:
            self.abandoned_ids.add(call.request_id)
            self.quarantined = self.quarantined or call.attempt.timed_out
            self._write(resp.pack(protocol.RELEASE if call.pages else protocol.CANCEL, call.request_id))
        self._schedule_idle_close()

    def _send(self, call: RespCall) -> None:
        attempt, now = call.attempt, self.pool.client.clock.now()
        if now > attempt.start_deadline_ms:  # it waited too long: its engine drains, or it may no longer be repeated
            self._end_unsent(call)
            return
        request = attempt.request.incoming
        fields = {
            protocol.CLASS_FIELD: request.request_class,
            protocol.BUDGET_FIELD: str(max(1, int(attempt.deadline_ms - now))),
        }
        if request.deduplication_token:
            fields[protocol.TOKEN_FIELD] = request.deduplication_token
        call.sent = attempt.sent = True
        self._write(resp.pack(protocol.START, call.request_id, resp.pack_fields(fields), request.statement))

    def _end_unsent(self, call: RespCall) -> None:
        self._remove_call(call)
        self._schedule_idle_close()
        call.attempt.end(Outcome.NEVER_SENT)

    # Writing. The transport calls `resumeProducing` each time that it has sent everything.

    @property
    def write_blocked(self) -> bool:
        """Whether the engine does not read its input; a request sent now would start at an unknown time."""
        since = self._write_blocked_since
        return since is not None and self.pool.client.clock.now() - since > WRITE_BLOCKED_LIMIT_MS

    def _may_send(self, call: RespCall) -> bool:
        """Whether a request may be sent now; a large one waits until little is unsent, and small ones pass it."""
        return not self.write_blocked and (not call.is_large or self._unsent_bytes <= MAX_UNSENT_BYTES)

    def _write(self, data: bytes) -> None:
        if self._write_blocked_since is None:
            self._write_blocked_since = self.pool.client.clock.now()
        self.transport.write(data)
        self._unsent_bytes += len(data)
        self._report_held()

    def _report_held(self) -> None:
        """Report the bytes that the engine has not received, and those of results that are not complete."""
        received = len(self._reader.buffer) + self._result_bytes
        self._holder.set_roughly(HeldKind.ENGINE, 0 if self.closed else self._unsent_bytes + received)

    def _remove_call(self, call: RespCall) -> bool:
        """Remove an attempt that is over here; returns whether it was open."""
        if self.calls.pop(call.request_id, None) is None:
            return False
        self._result_bytes -= call.size
        return True

    def connectionMade(self) -> None:
        """The connection is established."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, False)
        self._schedule_idle_close()
        # Clients of waiting requests may have left, which may still be unread: finish this read pass first.
        self.pool.client.clock.call_later(0.0, self._send_waiting)

    def resumeProducing(self) -> None:
        """Called by the transport when everything written has been sent."""
        if self._write_blocked_since is not None:
            self._write_blocked_since, self._unsent_bytes = None, 0
            self._report_held()
            self._send_waiting()

    def _send_waiting(self) -> None:
        """Send the attempts that waited for the connection or for the engine to resume reading."""
        waiting = [call for call in self.calls.values() if not call.sent]
        for call in sorted(waiting, key=lambda call: call.is_large):
            if not self._may_send(call):
                return
            if call.attempt.request.client_has_left():
                self._end_unsent(call)
            else:
                self._send(call)

    def stopProducing(self) -> None:
        """Called by the transport when the connection ends."""

    # Reading.

    def dataReceived(self, data: bytes) -> None:
        """Handle received bytes: replies, split at any position."""
        if self.closed:
            return
        self.quarantined = False
        try:
            for reply in self._reader.feed(data):
                self._stalled_sweeps = 0
                if len(reply) != 4:
                    raise resp.RespError("a reply must have an id, a type, fields and a body")
                self._handle_reply(reply[0], reply[1], resp.read_fields(reply[2]), reply[3])
        except resp.RespError as error:
            self._abort(f"protocol: {error}")
        self._report_held()

    def sweep(self) -> None:
        """Called periodically: end the connection if the rest of a reply or a page does not arrive."""
        self._stalled_sweeps = self._stalled_sweeps + 1 if self._reader.buffer else 0
        page_stalled = False
        for call in self.calls.values():
            if call.pages:
                call.stalled_sweeps += 1
                page_stalled = page_stalled or call.stalled_sweeps > MAX_STALLED_SWEEPS
        if page_stalled or self._stalled_sweeps > MAX_STALLED_SWEEPS:
            self._abort("page-timeout" if page_stalled else "incomplete-reply-timeout")

    def _handle_reply(self, request_id: bytes, reply_type: bytes, fields: dict[str, str], body: bytes) -> None:
        call = self.calls.get(request_id)
        if call is None or not call.sent:  # cancelled, already answered, or an unknown id
            return
        if reply_type == protocol.PROGRESS:
            self._report_progress(call, fields)
        elif reply_type == protocol.FIRST_PAGE and not call.pages:
            count = _parse_count(fields.get(protocol.PAGE_COUNT_FIELD, "1"), 1, MAX_PAGES)
            if count is None:
                raise resp.RespError("invalid number of pages")
            call.begin_result(count, body)
            self._result_bytes += call.size
            self._write(b"".join(resp.pack(protocol.GET_PAGE, request_id, b"%d" % page) for page in range(1, count)))
            self._end_if_complete(call)
        elif reply_type == protocol.PAGE and call.pages:
            number = _parse_count(fields.get(protocol.PAGE_NUMBER_FIELD, ""), 1, len(call.pages) - 1)
            if number is None:
                raise resp.RespError("invalid page number")
            size_before = call.size
            call.add_page(number, body)
            self._result_bytes += call.size - size_before
            self._end_if_complete(call)
        elif reply_type in protocol.OUTCOMES:
            # After a page or progress the engine can't claim that the request was not executed.
            self._end_call(call, Outcome.ERROR if call.has_run else protocol.OUTCOMES[reply_type])
        elif reply_type not in (protocol.FIRST_PAGE, protocol.PAGE):  # otherwise a repeated page, which is ignored
            raise resp.RespError("unknown type of reply")

    def _end_if_complete(self, call: RespCall) -> None:
        result = call.complete_result()
        if result is not None:
            self._end_call(call, Outcome.SUCCESS, result)

    def _end_call(self, call: RespCall, outcome: Outcome, result: bytes = b"") -> None:
        self._remove_call(call)
        if call.pages:  # the engine keeps them until they are released
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
                    "progress report without a valid number from {engine}",
                    event="progress-note-invalid",
                    engine=self.pool.engine,
                )

    # End of the connection.

    def _schedule_idle_close(self) -> None:
        """Close an unused connection before the engine does; at once if it is retired."""
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
        """Accept no new attempts, and close once the open ones have ended.

        What is not sent yet is given up: the address, and what is connected to it, may belong to another engine.
        """
        self.retired = True
        if not self.connected:
            self._cancel_dial()
        for call in [call for call in self.calls.values() if not call.sent]:
            self._end_unsent(call)
        self._schedule_idle_close()

    def _abort(self, reason: str) -> None:
        """Abort the connection. Sent attempts may have run; their end is reported once the engine must have noticed."""
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
        self.closed = True
        self._report_held()
        return super()._leave_pool(delay_ms)

    def _end_calls(self, outcome: Outcome, delay_ms: float = 0.0) -> None:
        """End the open attempts.

        Args:
            outcome: outcome of the attempts that were sent.
            delay_ms: delay for these, after which the engine is certain to have noticed the end of the connection.
        """
        calls, self.calls = list(self.calls.values()), {}
        for call in calls:
            if not call.sent:
                call.attempt.end(outcome if outcome is Outcome.NEVER_SENT else Outcome.UNREACHABLE)
            elif delay_ms:
                self.pool.client.clock.call_later(delay_ms, partial(call.attempt.end, outcome))
            else:
                call.attempt.end(outcome)


def _parse_count(text: str, minimum: int, maximum: int) -> int | None:
    return int(text) if text.isascii() and text.isdigit() and minimum <= int(text) <= maximum else None
