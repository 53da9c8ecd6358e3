"""The scheduler of one kind of periodic duty: which duties this instance owns, when each is due, what a run leads to.

A duty is done once a period at a phase of its own, the same whoever owns it: phases are hashed and reckoned on the wall
clock, so that a subject doesn't get all its duties at once and a duty that moves keeps its rhythm. An owner that fails
repeatedly declines the duty, so that another member tries; the last failure is then believed and reported.

Owned by `node`, which tells it of changes of members and of messages received, starts the runs that it asks for and
broadcasts its reports. Free of I/O; times are ms, on the local monotonic clock unless said otherwise.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection, Mapping

from decklb.cluster.declines import Declines
from decklb.cluster.duty import Duty, DutyCounters, DutyRun, phase_of
from decklb.cluster.lamport_clock import LamportClock
from decklb.cluster.messages import DutyDecline, DutyResult, HealthStatus
from decklb.cluster.rendezvous import Ranking
from decklb.cluster.settings import DutySettings
from decklb.cluster.timers import Timer, TimerQueue
from decklb.cluster.verdicts import VerdictTable

# Share of a period over which the duties of a dead member are taken over: promptly, but not all at once.
TAKEOVER_SPREAD = 0.25

# Smallest share of a period between two starts of a duty, whatever the wall clock does.
MIN_START_GAP = 0.5

# Largest hold of a decline, in multiples of the first.
MAX_HOLD_MULTIPLIER = 8.0

# After the end of a hold, so that it is over when the owners are computed anew.
HOLD_EXPIRY_MARGIN_MS = 1.0


class DutyScheduler:
    """One kind of duty at one instance.

    Attributes:
        duties: those owned or still running, by subject.
        declines: which members decline which duties.
        eligible: members that may own duties.
        warming_until: all subjects, each with the end of its warm-up (Unix ms).
        in_minority: whether this side sees under half of the known members.
        running: runs under way.
    """

    def __init__(
        self,
        settings: DutySettings,
        member: str,
        ranking: Ranking,
        verdicts: VerdictTable,
        lamport_clock: LamportClock,
        timers: TimerQueue,
        wall_clock: Callable[[float], float],
        start_run: Callable[[DutyRun], None],
        report: Callable[[DutyResult | DutyDecline], None],
    ) -> None:
        """Make a scheduler without duties.

        Args:
            settings: of this kind of duty.
            member: name of this instance.
            ranking: assigns owners.
            verdicts: the results held.
            lamport_clock: gives terms.
            timers: the node's.
            wall_clock: Unix ms at a moment of the monotonic clock.
            start_run: asks for a run; `on_run_ended` is to be called at its end.
            report: broadcasts a result or a decline, and applies it here by `on_result` or `on_decline`.
        """
        self.settings = settings
        self.member = member
        self.ranking = ranking
        self.verdicts = verdicts
        self.lamport_clock = lamport_clock
        self.timers = timers
        self.wall_clock = wall_clock
        self.start_run = start_run
        self.report = report
        self.duties: dict[str, Duty] = {}
        self.declines = Declines()
        self.eligible: frozenset[str] = frozenset()
        self.warming_until: Mapping[str, float] = {}
        self.in_minority = False
        self.counters = DutyCounters()
        self.running = 0
        self._waiting: deque[Duty] = deque()  # due, but too many runs are under way
        self._times_declined: dict[str, int] = {}  # by subject
        self._hold_timer: Timer | None = None  # at the end of the next hold
        self._repeats_declines = False  # whether their repetition has been started

    # Ownership.

    def set_subjects(self, now: float, warming_until: Mapping[str, float]) -> None:
        """Replace the subjects; the values are the ends of their warm-ups (Unix ms)."""
        self.warming_until = warming_until
        if not self._repeats_declines:
            self._repeats_declines = True
            self.timers.call_at(now + self.settings.repeat_interval_ms, self._repeat_declines)
        self.ranking.set_duties(warming_until.keys())
        self.verdicts.retain(warming_until.keys())
        self._times_declined = {
            subject: times for subject, times in self._times_declined.items() if subject in warming_until
        }
        self.update_ownership(now, self.eligible, self.in_minority)

    def update_ownership(self, now: float, eligible: Collection[str], in_minority: bool) -> None:
        """Take and release duties after a change of members, subjects or declines."""
        before, self.eligible = self.eligible, frozenset(eligible)
        self.declines.forget_members(before - self.eligible - {self.member})
        declined = self.declines.active(now)
        assigned = self.ranking.duties_of(self.member, self.eligible, declined)
        owned = {subject for subject, duty in self.duties.items() if duty.is_owned}
        for subject in sorted(owned - assigned):
            self._release(self.duties[subject])
        self._acquire_all(now, assigned - owned, before, declined)
        if self.eligible - before:
            self._on_members_returned(now, owned & assigned)
        if in_minority != self.in_minority:
            self.in_minority = in_minority
            for duty in self.duties.values():
                if duty.is_owned:
                    self._schedule(now, duty)
        self._arm_hold_timer(now)

    def _acquire_all(
        self, now: float, subjects: set[str], before: frozenset[str], declined: Mapping[str, Collection[str]]
    ) -> None:
        # One term serves all that are taken at once: terms are compared subject by subject.
        term = self.lamport_clock.next_term() if subjects else 0
        for subject in sorted(subjects):
            # Promptly where its last owner is gone, so that nobody waits a period more for it.
            last_owner = self.ranking.owner(subject, before) if before else None
            is_orphaned = last_owner is not None and last_owner not in self.eligible
            self._acquire(now, subject, term, is_orphaned, subject in declined)

    def _acquire(self, now: float, subject: str, term: int, is_orphaned: bool, is_second_opinion: bool) -> None:
        duty = self.duties.get(subject)
        if duty is None:
            duty = self.duties[subject] = Duty(subject, phase_of(self.settings.kind, subject))
        duty.is_owned = True
        duty.term = term
        duty.consecutive_failures = 0
        duty.is_second_opinion = is_second_opinion
        duty.failure_reported = -math.inf
        self.counters.gained += 1
        self._schedule(now, duty, promptly=is_orphaned or is_second_opinion)

    def _release(self, duty: Duty) -> None:
        duty.is_owned = False
        self.counters.lost += 1
        if duty.timer is not None:
            duty.timer.cancel()
            duty.timer = None
        if not duty.is_running:
            del self.duties[duty.subject]

    def _on_members_returned(self, now: float, still_owned: set[str]) -> None:
        """Members have come, or come back from another side of a partition."""
        if still_owned:
            # They may have owned these duties on their side: our results must outdo theirs.
            term = self.lamport_clock.next_term()
            for subject in still_owned:
                self.duties[subject].term = term
        self._send_declines(now)  # which they have not heard

    # Schedule.

    def period_ms(self, now: float, subject: str) -> float:
        """Between two runs: stretched for a subject that warms up, and on a side that sees few members."""
        factor = self.settings.minority_factor if self.in_minority else 1.0
        if self.wall_clock(now) < self.warming_until.get(subject, 0.0):
            factor *= self.settings.warming_up_factor
        return self.settings.period_ms * factor

    def _schedule(self, now: float, duty: Duty, promptly: bool = False) -> None:
        period = self.period_ms(now, duty.subject)
        if promptly:
            due = now + duty.phase * TAKEOVER_SPREAD * period
        else:
            since_phase = self.wall_clock(now) - duty.phase * period
            due = now + (math.floor(since_phase / period) + 1) * period - since_phase
        # Guards against a clock that jumps, and against the moment after a prompt run.
        if due - duty.last_started < MIN_START_GAP * period:
            due += period if not promptly else duty.last_started + MIN_START_GAP * period - due
        if duty.timer is not None:
            duty.timer.cancel()
        duty.timer = self.timers.call_at(due, lambda at: self._on_due(at, duty))

    def _on_due(self, now: float, duty: Duty) -> None:
        duty.timer = None
        if not duty.is_owned:
            return
        if duty.is_running:  # it takes longer than its period; a second run would only add to it
            self.counters.overruns += 1
        elif self.running >= self.settings.max_concurrent:
            self._waiting.append(duty)
        else:
            self._start(now, duty)
        self._schedule(now, duty)

    def _start(self, now: float, duty: Duty) -> None:
        duty.is_running, duty.last_started = True, now
        self.running += 1
        self.counters.started += 1
        self.start_run(DutyRun(self.settings.kind, duty.subject, duty.term))

    # Results of own runs.

    def on_run_ended(self, now: float, subject: str, ok: bool) -> None:
        """A run that was asked for is over."""
        duty = self.duties.get(subject)
        if duty is None or not duty.is_running:
            return
        duty.is_running, duty.last_ok, duty.last_ended = False, ok, now
        self.running -= 1
        if not duty.is_owned:  # it moved meanwhile; its new owner finds out for itself
            del self.duties[subject]
        elif ok:
            self._on_success(now, duty)
        else:
            self._on_failure(now, duty)
        while self._waiting and self.running < self.settings.max_concurrent:
            waiting = self._waiting.popleft()
            if waiting.is_owned and not waiting.is_running:
                self._start(now, waiting)

    def _on_success(self, now: float, duty: Duty) -> None:
        duty.consecutive_failures = 0
        if self.verdicts.is_down(duty.subject):
            self._report_status(now, duty, HealthStatus.UP)

    def _on_failure(self, now: float, duty: Duty) -> None:
        self.counters.failed += 1
        duty.consecutive_failures += 1
        if duty.consecutive_failures < (1 if duty.is_second_opinion else self.settings.failures_to_decline):
            return
        declined_by = self.declines.members_for(duty.subject, now)
        others = self.eligible - declined_by - {self.member}
        if self.member not in declined_by and len(declined_by) < self.settings.max_declines and others:
            self._decline(now, duty.subject)
        elif not self.verdicts.is_down(duty.subject) or now - duty.failure_reported >= self.settings.repeat_interval_ms:
            self._report_status(now, duty, HealthStatus.DOWN)

    def _decline(self, now: float, subject: str) -> None:
        times = self._times_declined[subject] = self._times_declined.get(subject, 0) + 1
        hold_ms = self.settings.decline_hold_ms * min(MAX_HOLD_MULTIPLIER, 2.0 ** (times - 1))
        self.counters.declined += 1
        self._report_decline(now, subject, int(hold_ms))

    def _report_decline(self, now: float, subject: str, hold_ms: int) -> None:
        self.report(DutyDecline(self.settings.kind, subject, self.member, int(self.wall_clock(now)), hold_ms))

    def _report_status(self, now: float, duty: Duty, status: HealthStatus) -> None:
        duty.failure_reported = now
        if self.verdicts.term(duty.subject) >= duty.term:  # another had it with a higher term: ours must outdo it
            duty.term = self.lamport_clock.next_term()
        found_at_ms = int(self.wall_clock(now))
        self.report(DutyResult(self.settings.kind, duty.subject, duty.term, self.member, found_at_ms, status))

    # Reports, of others and of our own.

    def on_result(self, now: float, result: DutyResult) -> bool:
        """Apply a result; true if it is newer than the one held, and worth passing on."""
        self.lamport_clock.observe(result.term)
        if result.subject not in self.ranking or not self.verdicts.apply(now, result):
            return False
        duty = self.duties.get(result.subject)
        if duty is not None and duty.is_owned and result.owner != self.member and result.term >= duty.term:
            duty.term = self.lamport_clock.next_term()
        return True

    def on_decline(self, now: float, decline: DutyDecline) -> bool:
        """Apply a decline; true if it was not known, and is worth passing on."""
        # Its hold runs from when it was declared, as far as the clocks agree.
        elapsed_ms = min(max(0.0, self.wall_clock(now) - decline.declined_at_ms), decline.hold_ms)
        until = now + decline.hold_ms - elapsed_ms
        if decline.subject not in self.ranking or not self.declines.add(decline.subject, decline.declined_by, until):
            return False
        self.update_ownership(now, self.eligible, self.in_minority)
        return True

    def _send_declines(self, now: float) -> None:
        """Report own declines again: all members must hold the same ones to find the same owner."""
        for subject, left_ms in self.declines.of_member(self.member, now):
            self._report_decline(now, subject, max(1, int(left_ms)))

    def _repeat_declines(self, now: float) -> None:
        self._send_declines(now)
        self.timers.call_at(now + self.settings.repeat_interval_ms, self._repeat_declines)

    def _arm_hold_timer(self, now: float) -> None:
        if self._hold_timer is not None:
            self._hold_timer.cancel()
            self._hold_timer = None
        expiry = self.declines.next_expiry()
        if expiry < math.inf:
            self._hold_timer = self.timers.call_at(
                max(now, expiry) + HOLD_EXPIRY_MARGIN_MS,
                lambda at: self.update_ownership(at, self.eligible, self.in_minority),
            )
