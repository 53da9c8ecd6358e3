"""The policy of one gateway: events in, actions out (types: `decklb.interface`).

The dispatcher (real sockets) or the simulator's adapter calls `Gateway.step`, at most once per tick. It does
no I/O and reads no clock. Each mechanism is in a module of its own in this package and keeps its own state;
this module defines what happens at each event. `docs/design.md` explains the design.
"""

from __future__ import annotations

import random

from decklb import interface as api
from decklb.interface import Effect, Outcome, Settings
from decklb.policy import hedging, outlier_detection, slowdown
from decklb.policy.class_statistics import ClassStatistics
from decklb.policy.concurrency import ConcurrencyLimit
from decklb.policy.constants import CONTROL_PERIOD_MS, HOUSEKEEPING_PERIOD_MS, SCAN_TICKS
from decklb.policy.deadlines import is_too_late
from decklb.policy.engines import EngineRegistry
from decklb.policy.gossip import PeerGossip
from decklb.policy.key_ordering import KeyOrdering
from decklb.policy.load_reports import LoadReports
from decklb.policy.load_shedding import LoadShedder
from decklb.policy.lost_attempts import POSSIBLY_LOST_RUNS, LostAttemptDetector
from decklb.policy.memory_grants import NORMAL_PRIORITY, memory_grant_mb, priority
from decklb.policy.peer_messages import PeerMessage
from decklb.policy.queueing import WeightedRoundRobin
from decklb.policy.records import Attempt, Engine, Request
from decklb.policy.retry_budget import RetryBudget
from decklb.policy.routing import Router
from decklb.policy.slow_start import SlowStart
from decklb.policy.subsetting import assign_subsets
from decklb.policy.weight_controller import update_weights

ENDPOINT_LIST_RETRY_MS = 500.0  # a failed endpoint list is requested again after this to twice this time
QUEUE_LOOKAHEAD = 8  # requests tried from the head of a queue, past those blocked by placement or a key
QUEUE_LOOKAHEAD_POLLING = 2  # the same if load is polled: then all requests wait for the same reports


class Gateway:
    """One gateway: `step` takes a batch of events and returns the actions, in order."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rng = settings, random.Random(seed)
        # Until the first answers half the objective is the guess: too high rather than too low, so that
        # cold engines are not overloaded.
        self.statistics = {
            name: ClassStatistics.initial(spec.latency_objective_ms / 2, spec.threads)
            for name, spec in settings.classes.items()
        }
        self.requests: dict[str, Request] = {}
        self.engines = EngineRegistry()
        self.scheduler = WeightedRoundRobin(settings)
        self.keys = KeyOrdering(settings)
        self.retries = RetryBudget(settings)
        self.lost_attempts = LostAttemptDetector(settings)
        self.gossip = PeerGossip(settings, len(self.statistics))
        self.reports = LoadReports(settings)
        self.limit = ConcurrencyLimit(settings, self.reports.enabled, self.reports.max_age_ms)
        self.slow_start = SlowStart(settings, self.statistics)
        self.shedder = LoadShedder(settings, self.statistics)
        self.router = Router(settings, self.engines, self.limit, self.slow_start, self.reports, self.rng)
        self.now = 0.0  # time of the current step in ms
        self.actions: list[api.Action] = []  # actions of the current step
        self._started = False
        self._arrivals = 0  # number of requests so far
        self._last_scan_at = 0.0
        self._last_housekeeping_at = 0.0
        self._last_weight_update_at = 0.0
        self._list_retry_at = 0.0  # time in ms of the next request of the endpoint list; 0: none is due
        self._timer_due_at = 0.0  # expiry in ms of the last timer that was set

    def step(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Handle a batch of events at the time `now` in ms, and return the actions in order."""
        self.now, self.actions = now, []
        if not self._started:
            self._start()
        for event in events:
            match event:
                case api.RequestArrived():
                    self._on_request_arrived(event)
                case api.AttemptEnded():
                    self._on_attempt_ended(event)
                case api.CompletionUncertain():
                    self.keys.extend_hold_down(event.ordering_key, now)
                case api.EndpointsUpdated(failed=True):  # request it later, so that its service can recover
                    self._list_retry_at = now + ENDPOINT_LIST_RETRY_MS * (1 + self.rng.random())
                case api.EndpointsUpdated():
                    self._on_endpoints_updated(event)
                case api.HealthCheckResult():
                    self._on_health_check(event)
                case api.ClientGone() if event.request_id in self.requests:
                    self._close(self.requests[event.request_id])
                case api.ShutdownStarted():
                    self._on_shutdown()
                case api.ResponseStarted() if event.request_id in self.requests:
                    self.requests[event.request_id].streaming = True
                case api.PeerMessage():
                    self._on_peer_message(event)
                case api.AttemptProgress() if event.request_id in self.requests:
                    self._on_progress(self.requests[event.request_id], event)
        if now - self._last_scan_at >= (SCAN_TICKS - 1) * self.settings.tick_ms:
            self._scan()
        if self.scheduler.has_queued():
            self._send_queued()
            for request in self.shedder.excess(list(self.scheduler.queues.values()), self.limit, now):
                self._give_up(request)
        self._set_timer()
        return self.actions

    # Events.

    def _start(self) -> None:
        self._started = True
        self._last_weight_update_at = self._last_housekeeping_at = self.reports.last_report_at = self.now
        if self.settings.must_subscribe:
            self.actions.append(api.WatchEndpoints())

    def _on_request_arrived(self, arrival: api.RequestArrived) -> None:
        spec = self.settings.classes.get(arrival.request_class)
        if arrival.request_id in self.requests:
            return
        if spec is None:
            self.actions.append(api.Fail(arrival.request_id))
            return
        self.retries.add_request(self.now)
        tenant, statistics = self.scheduler.tenant(arrival.tenant), self.statistics[arrival.request_class]
        self._arrivals += 1
        request = Request(arrival, spec, statistics, tenant, self.now, self._arrivals)
        self.requests[arrival.request_id] = request
        self.reports.add_request(request, self.rng)
        tenant.arrivals += 1
        if tenant.spec.quota_per_s:
            own_quota = tenant.spec.quota_per_s * self.gossip.tenant_fractions[tenant.index]
            request.over_quota = not tenant.quota.take(own_quota, self.now)
        statistics.learn_estimate(arrival.estimated_work_ms)
        if is_too_late(request, self.now, self.settings.tick_ms):  # for example a client's last retry
            self._give_up(request)
        elif self.keys.register(request):
            self.scheduler.enqueue(request)

    def _on_attempt_ended(self, ended: api.AttemptEnded) -> None:
        request = self.requests.get(ended.request_id)
        if request is None or not 0 <= ended.attempt < len(request.attempts):
            return
        attempt = request.attempts[ended.attempt]
        if attempt.outcome is not None:
            return
        attempt.outcome, attempt.confirmed = ended.outcome, ended.authoritative
        attempt.engine.end_attempt(attempt)
        self.lost_attempts.observe(attempt, ended)
        self._update_engine(attempt.engine, request, ended)
        if request.closed or ended.request_finished:
            if not request.closed and ended.outcome is Outcome.SUCCESS:
                latency_ms = self.now - request.arrived_at
                request.tenant.control.record_answer(latency_ms, request.latency_objective_ms())
            self._close(request)
        elif not request.streaming and not request.queued and not request.is_in_flight():
            if self.retries.allows(request, self.now):
                self.scheduler.enqueue(request)
            else:
                self._give_up(request)

    def _update_engine(self, engine: Engine, request: Request, ended: api.AttemptEnded) -> None:
        """Update the state of an engine with the outcome of an attempt."""
        match ended.outcome:
            case Outcome.SUCCESS:
                self._learn_from_answer(engine, request, ended)
            case Outcome.UNREACHABLE:
                outlier_detection.record_unreachable(engine, self.now)
            case Outcome.TIMED_OUT if engine.on_trial:
                outlier_detection.record_unreachable(engine, self.now)
            case Outcome.ERROR:
                slowdown.record_error(engine)
                if len(request.attempts) == 1:
                    self.retries.discard_request(request.arrived_at)
                if engine.on_trial:
                    outlier_detection.eject(engine, self.now)
            case Outcome.OVERLOADED:  # an engine that rejects requests stays idle, as one with errors does
                outlier_detection.record_error(engine, self.now)
            case Outcome.CONNECTION_RESET:
                outlier_detection.record_reset(engine, self.now)

    def _learn_from_answer(self, engine: Engine, request: Request, answer: api.AttemptEnded) -> None:
        outlier_detection.record_answer(engine, request, self.now)
        size, estimate_mb = request.relative_size(), request.arrival.estimated_memory_mb
        ratio = request.statistics.learn_answer(answer, request.spec.threads, size, estimate_mb, self.rng)
        self.limit.observe_answer(ratio)
        slowdown.record(engine, ratio)

    def _on_progress(self, request: Request, progress: api.AttemptProgress) -> None:
        if progress.attempt < len(request.attempts):
            attempt = request.attempts[progress.attempt]
            attempt.last_progress_at = self.now
            if hedging.is_runaway(attempt, progress, self.now):
                self._cancel_for_retry(attempt)

    def _on_endpoints_updated(self, update: api.EndpointsUpdated) -> None:
        self.engines.update(update.endpoints, update.complete, self.now, self.settings.cores_by_kind)
        assign_subsets(self.engines.up(), self.settings, self.reports.enabled)
        self._update_limit()

    def _on_health_check(self, result: api.HealthCheckResult) -> None:
        if engine := self.engines.by_id.get(result.engine_id):
            if result.outcome is Outcome.UNREACHABLE:
                outlier_detection.eject(engine, self.now)
            self.reports.record(engine, result, self.limit.factor, self.now, self.rng)

    def _on_peer_message(self, event: api.PeerMessage) -> None:
        message = self.gossip.receive(event.sender, event.data, self.now)
        if message is None:
            return
        self.limit.observe_peer(message.slowdown)
        for short_id, ratio in message.engine_slowdowns:
            if engine := self.engines.by_short_id.get(short_id):
                slowdown.record_peer(engine, ratio)
        for statistics, ratio in zip(self.statistics.values(), message.memory_ratios, strict=True):
            statistics.add_memory_ratio(ratio, self.rng)

    def _on_shutdown(self) -> None:
        """Cancel the attempts in flight, and answer all open requests."""
        for request in [request for request in self.requests.values() if not request.closed]:
            if self.settings.cancellation:
                numbers = [attempt.number for attempt in request.attempts if attempt.outcome is None]
                self.actions += [api.CancelAttempt(request.arrival.request_id, number) for number in numbers]
            self._answer(request)

    # Timers.

    def _scan(self) -> None:
        """Run the periodic checks, every few ticks."""
        self._last_scan_at = self.now
        queues = self.scheduler.queues.values()
        for request in [queued[2] for queue in queues for queued in queue.requests] + self.keys.waiting():
            if not request.closed and is_too_late(request, self.now, self.settings.tick_ms):
                self._give_up(request)
        for attempt in self.lost_attempts.mark_lost(self.engines.up(), self.now):
            if not self.settings.hedging:
                self._cancel_for_retry(attempt)
            elif not attempt.request.queued and self.retries.allows(attempt.request, self.now):
                self.scheduler.enqueue(attempt.request)
        self.keys.expire(self.now)
        if 0 < self._list_retry_at <= self.now:
            self._list_retry_at = 0.0
            self.actions.append(api.WatchEndpoints())
        if self.now - self._last_housekeeping_at >= HOUSEKEEPING_PERIOD_MS:
            self._do_housekeeping()
        if self.now - self._last_weight_update_at >= CONTROL_PERIOD_MS:
            self._last_weight_update_at = self.now
            update_weights(self.scheduler.tenants())

    def _do_housekeeping(self) -> None:
        for tenant in self.scheduler.tenants():
            tenant.update_arrival_rate(self.now - self._last_housekeeping_at)
        self._last_housekeeping_at = self.now
        slowdown.refresh(self.engines.up(), self.now)
        if self.gossip.enabled:
            message = PeerMessage(
                self.scheduler.listed_arrival_rates(),
                self.limit.slowdown,
                [statistics.take_unsent_memory_ratio() for statistics in self.statistics.values()],
                slowdown.take_changed(self.engines.up()),
            )
            self.actions += self.gossip.build_messages(message, self.rng)
        self.reports.update_threads_per_query(self.statistics)
        self.limit.adapt()
        self._update_limit()

    def _update_limit(self) -> None:
        self.gossip.update_fractions(self.scheduler.listed_arrival_rates(), self.now)
        self.limit.resize(self.gossip.fraction, self.engines.up(), self.now)

    def _set_timer(self) -> None:
        tick = self.settings.tick_ms
        delay_ms = SCAN_TICKS * tick if self.requests else HOUSEKEEPING_PERIOD_MS  # idle gateways wake rarely
        due = self.now + delay_ms
        if not self.now + tick / 2 < self._timer_due_at <= due:
            self._timer_due_at = due
            self.actions.append(api.SetTimer(due - self.now, "sweep"))

    # Requests.

    def _send_queued(self) -> None:
        """Send queued requests by weighted round robin over the tenants, until no more can be sent."""
        ready = list(self.scheduler.queues.values())
        up = self.engines.up()
        lookahead = QUEUE_LOOKAHEAD_POLLING if self.reports.enabled else QUEUE_LOOKAHEAD
        self.limit.count_threads(up, self.now)
        while ready and not self.limit.all_saturated(up, self.now):
            queue = min(ready, key=lambda queue: queue.virtual_time)
            for _, _, request in queue.requests[:lookahead]:
                engine = self._route(request) if self.limit.admits(request) else None
                if engine is not None:
                    self.scheduler.charge(queue, request)
                    self._send(request, engine)
                    break
            else:
                ready.remove(queue)

    def _route(self, request: Request) -> Engine | None:
        if self.keys.is_held_down(request, self.now):
            return None
        if request.attempts and not self.retries.allows(request, self.now):
            return None
        return self.router.choose(request, self.now, self.actions)

    def _send(self, request: Request, engine: Engine) -> None:
        arrival, settings = request.arrival, self.settings
        self.scheduler.remove(request)
        if request.attempts:
            self.retries.add_retry(self.now)
        grant_mb = memory_grant_mb(request, engine, settings)
        priority_level = priority(request, self.statistics, settings)
        if grant_mb or priority_level != NORMAL_PRIORITY:
            self.actions.append(api.SetResources(arrival.request_id, grant_mb, priority_level))
        wait_ms = max(settings.tick_ms, arrival.time_left_ms - (self.now - request.arrived_at))
        if engine.on_trial:
            wait_ms = min(wait_ms, POSSIBLY_LOST_RUNS * request.statistics.run_ms)
        attempt = Attempt(request, len(request.attempts), engine, self.now, request.size_bucket())
        request.attempts.append(attempt)
        engine.add_attempt(attempt)
        engine.reported_load += request.spec.threads / engine.cores
        self.limit.add_attempt(attempt)
        self.slow_start.record_send(engine, request.statistics.work_ms, self.now)
        self.actions.append(api.StartAttempt(arrival.request_id, engine.endpoint.engine_id, wait_ms))

    def _cancel_for_retry(self, attempt: Attempt) -> None:
        """Cancel an attempt, if allowed; its outcome leads to a retry at another engine."""
        request = attempt.request
        if hedging.may_cancel(attempt, self.settings) and self.retries.allows(request, self.now):
            self.actions.append(api.CancelAttempt(request.arrival.request_id, attempt.number))

    def _give_up(self, request: Request) -> None:
        """Answer now, or if an attempt is in flight only remove the queued hedged request."""
        if request.is_in_flight() and not request.closed:
            self.scheduler.remove(request)
        else:
            self._answer(request)

    def _answer(self, request: Request) -> None:
        """Give a final answer without a result: rejected if a client's retry does no harm, else failed."""
        spec, settings = request.spec, self.settings
        is_deduplicated = spec.effect is Effect.KEYED and spec.deduplication_scope == "all"
        if request.first_possibly_executed() is None or spec.effect is Effect.SAFE or is_deduplicated:
            wait_ms = min(settings.max_retry_after_ms, spec.latency_objective_ms) * settings.retry_after
            self.actions.append(api.Reject(request.arrival.request_id, wait_ms))
        else:
            self.actions.append(api.Fail(request.arrival.request_id))
        self._close(request)

    def _close(self, request: Request) -> None:
        """Finish a request; its key's queue and its record remain until all its attempts have ended."""
        request.closed = True
        self.scheduler.remove(request)
        if not request.attempts:
            self.retries.discard_request(request.arrived_at)
        if next_request := self.keys.advance(request.arrival.ordering_key, self.now):
            self.scheduler.enqueue(next_request)
        if not request.is_in_flight():
            self.requests.pop(request.arrival.request_id, None)
            request.attempts.clear()  # breaks the reference cycle, which would need the garbage collector
