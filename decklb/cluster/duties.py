"""The scheduler of one kind of periodic duty: which duties this instance owns, when they run, and what follows a run.

A duty runs once per period, at a phase within the period that does not depend on its owner. The phase is a hash of kind
and subject and is aligned to the wall clock, so that the duties of one subject are spread over the period and a duty
keeps its schedule when its owner changes. An owner whose runs fail repeatedly declines the duty, so that another member
tries. When enough members have declined it, or no other member is left, a further failure is trusted and reported.

`node` owns the scheduler: it passes in changes of members and received messages, starts the requested runs and
broadcasts the reports. The scheduler does no I/O. Times are ms on the local monotonic clock unless stated otherwise.
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

# Fraction of a period over which the first runs of a dead member's duties are spread: soon, but not all at once.
TAKEOVER_SPREAD = 0.25

# Minimum time between two starts of a duty, as a fraction of the period; holds even if the wall clock jumps.
MIN_START_GAP = 0.5

# Maximum hold of a decline, as a multiple of the first hold.
MAX_HOLD_MULTIPLIER = 8.0

# Delay of the reassignment after the end of a hold, so that the hold has certainly ended by then.
HOLD_EXPIRY_MARGIN_MS = 1.0


class DutyScheduler:
    """Schedules one kind of duty at one instance.

    Attributes:
        duties: duties that are owned or still running, by subject.
        declines: which members decline which duties.
        eligible: members that may own duties.
        warming_until: all subjects, each with the end of its warm-up (Unix ms).
        in_minority: whether this instance sees fewer than half of the known members as live.
        running: number of runs in progress.
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
        """Create a scheduler without duties.

        Args:
            settings: settings of this kind of duty.
            member: name of this instance.
            ranking: assigns owners.
            verdicts: stores the newest results.
            lamport_clock: issues terms.
            timers: timers of the node.
            wall_clock: converts a time of the monotonic clock to Unix ms.
            start_run: requests a run; `on_run_ended` must be called when the run ends.
            report: broadcasts a result or decline and applies it locally through `on_result` or `on_decline`.
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
        self._waiting: deque[Duty] = deque()  # duties that are due while the maximum number of runs is in progress
        self._times_declined: dict[str, int] = {}  # number of declines by this instance, by subject
        self._hold_timer: Timer | None = None  # fires when the next hold ends
        self._repeats_declines = False  # whether the periodic repetition of declines has been started

    # Ownership.

    def set_subjects(self, now: float, warming_until: Mapping[str, float]) -> None:
        """Replace the subjects; the values of `warming_until` are the ends of their warm-ups (Unix ms)."""
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
        """Acquire and release duties after a change of members, subjects or declines."""
        eligible_before, self.eligible = self.eligible, frozenset(eligible)
        self.declines.forget_members(eligible_before - self.eligible - {self.member})
        declined = self.declines.active(now)
        assigned = self.ranking.duties_of(self.member, self.eligible, declined)
        owned = {subject for subject, duty in self.duties.items() if duty.is_owned}
        for subject in sorted(owned - assigned):
            self._release(self.duties[subject])
        self._acquire_all(now, assigned - owned, eligible_before, declined)
        if self.eligible - eligible_before:
            self._on_members_returned(now, owned & assigned)
        if in_minority != self.in_minority:
            self.in_minority = in_minority
            for duty in self.duties.values():
                if duty.is_owned:
                    self._schedule(now, duty)
        self._arm_hold_timer(now)

    def _acquire_all(
        self, now: float, subjects: set[str], eligible_before: frozenset[str], declined: Mapping[str, Collection[str]]
    ) -> None:
        # All duties acquired together share one term, since terms are compared only within a subject.
        term = self.lamport_clock.next_term() if subjects else 0
        for subject in sorted(subjects):
            # If the last owner is gone the duty runs soon, so that its result is not delayed by another period.
            last_owner = self.ranking.owner(subject, eligible_before) if eligible_before else None
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
        duty.last_reported = -math.inf
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
        """Members have joined, or returned from the other side of a partition."""
        if still_owned:
            # They may have owned these duties on their side, so results from here need a higher term than theirs.
            term = self.lamport_clock.next_term()
            for subject in still_owned:
                self.duties[subject].term = term
        self._send_declines(now)  # the returned members have not received them

    # Schedule.

    def period_ms(self, now: float, subject: str) -> float:
        """Return the time between two runs; it is longer while the subject warms up and while in a minority."""
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
        # Keeps the minimum gap after a jump of the wall clock and after a takeover run.
        if due - duty.last_started < MIN_START_GAP * period:
            due += period if not promptly else duty.last_started + MIN_START_GAP * period - due
        if duty.timer is not None:
            duty.timer.cancel()
        duty.timer = self.timers.call_at(due, lambda at: self._on_due(at, duty))

    def _on_due(self, now: float, duty: Duty) -> None:
        duty.timer = None
        if not duty.is_owned:
            return
        if duty.is_running:  # the run takes longer than a period; a second one would only add load
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
        """Handle the end of a run requested by `start_run`."""
        duty = self.duties.get(subject)
        if duty is None or not duty.is_running:
            return
        duty.is_running, duty.last_ok, duty.last_ended = False, ok, now
        self.running -= 1
        if not duty.is_owned:  # another member owns it by now and makes runs of its own
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
        elif not self.verdicts.is_down(duty.subject) or now - duty.last_reported >= self.settings.repeat_interval_ms:
            self._report_status(now, duty, HealthStatus.DOWN)

    def _decline(self, now: float, subject: str) -> None:
        times = self._times_declined[subject] = self._times_declined.get(subject, 0) + 1
        hold_ms = self.settings.decline_hold_ms * min(MAX_HOLD_MULTIPLIER, 2.0 ** (times - 1))
        self.counters.declined += 1
        self._report_decline(now, subject, int(hold_ms))

    def _report_decline(self, now: float, subject: str, hold_ms: int) -> None:
        self.report(DutyDecline(self.settings.kind, subject, self.member, int(self.wall_clock(now)), hold_ms))

    def _report_status(self, now: float, duty: Duty, status: HealthStatus) -> None:
        duty.last_reported = now
        if self.verdicts.term(duty.subject) >= duty.term:  # a new result needs a higher term than the stored one
            duty.term = self.lamport_clock.next_term()
        found_at_ms = int(self.wall_clock(now))
        self.report(DutyResult(self.settings.kind, duty.subject, duty.term, self.member, found_at_ms, status))

    # Reports from other members and from this instance.

    def on_result(self, now: float, result: DutyResult) -> bool:
        """Apply a result; return whether it is newer than the stored one and should be forwarded."""
        self.lamport_clock.observe(result.term)
        if result.subject not in self.ranking or not self.verdicts.apply(now, result):
            return False
        duty = self.duties.get(result.subject)
        if duty is not None and duty.is_owned and result.owner != self.member and result.term >= duty.term:
            duty.term = self.lamport_clock.next_term()
        return True

    def on_decline(self, now: float, decline: DutyDecline) -> bool:
        """Apply a decline; return whether it was new and should be forwarded."""
        # The hold starts when the decline was declared. Bounded, because the wall clocks may disagree.
        elapsed_ms = min(max(0.0, self.wall_clock(now) - decline.declined_at_ms), decline.hold_ms)
        until = now + decline.hold_ms - elapsed_ms
        if decline.subject not in self.ranking or not self.declines.add(decline.subject, decline.declined_by, until):
            return False
        self.update_ownership(now, self.eligible, self.in_minority)
        return True

    def _send_declines(self, now: float) -> None:
        """Report this instance's declines again: members need the same declines to compute the same owner."""
        for subject, remaining_ms in self.declines.of_member(self.member, now):
            self._report_decline(now, subject, max(1, int(remaining_ms)))

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
