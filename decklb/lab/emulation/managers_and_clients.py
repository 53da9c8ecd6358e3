"""Emulated managers, each with the real dispatcher and a policy, and the clients of their requests.

A `Manager` is the engine client (`core.ports`) of its own dispatcher and carries attempts over the emulated network; a
`Client` is the sink of one request's answers and retries as real clients do. Both are made by `emulator.Run`. What they
see they report to the run's checker and records.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from decklb import interface as api
from decklb.core.attempts import Attempt, Request
from decklb.core.dispatcher import Dispatcher
from decklb.core.ports import IncomingRequest
from decklb.interface import Endpoint, Outcome, Phase
from decklb.lab.emulation.engine_model import Query, QueryState
from decklb.lab.emulation.policies import POLICIES, Oracle
from decklb.lab.emulation.run_context import RunContext
from decklb.lab.emulation.shared_health_checks import SharedHealthChecks

MIN_CLIENT_BACKOFF_MS = 50.0  # before a client asks again, also where its manager has gone


class Client:
    """One request of the workload, from its first submission to its final answer; the dispatcher's sink.

    Attributes:
        submissions: How often it has been submitted to a manager.
        attempts: Attempts that managers made for it, over all submissions.
        issued_ms: When the client first asked.
        over: Whether it has its final answer, has given up, or was lost with its manager.
    """

    __slots__ = ("run", "index", "submissions", "issued_ms", "manager", "request", "attempts", "over", "_submit")

    def __init__(self, run: RunContext, index: int, submit: Callable[[Client], None]) -> None:
        self.run, self.index, self._submit = run, index, submit
        self.submissions, self.attempts = 0, 0
        self.issued_ms = run.loop.now()
        self.manager: Manager | None = None
        self.request: Request | None = None
        self.over = False

    def served(self, result: bytes) -> None:
        """Take the complete result."""
        self._finish("served")

    def rejected(self, retry_after_ms: float) -> None:
        """Retry after the backoff, in ms, while retries and time are left."""
        if self.over:  # its manager was killed; calls that were under way there don't count
            return
        run = self.run
        spec = run.world.workload.classes[run.arrivals.class_index[self.index]]
        wait_ms = max(retry_after_ms, MIN_CLIENT_BACKOFF_MS)
        left_ms = self.issued_ms + spec.deadline_ms - run.loop.now()
        if self.submissions <= run.world.workload.client_retries and left_ms > wait_ms:
            self._report_answer("refused")
            run.loop.call_later(wait_ms, lambda: self._submit(self))
        else:
            self._finish("refused")

    def failed(self) -> None:
        """Take a final failure, after which the request may have run."""
        self._finish("failed")

    def leave(self) -> None:
        """Give up, as the client's patience is over."""
        if self.over:
            return
        if self.manager is not None and self.request is not None and not self.request.answered:
            self.manager.abandon(self.request)
        self._record_end("left")

    def lost(self) -> None:
        """End without an answer: its manager was killed."""
        if not self.over:
            self._record_end("lost")

    def _report_answer(self, kind: str) -> None:
        if self.manager is not None and self.request is not None:
            self.manager.answered(self.request, kind)
            self.attempts += len(self.request.attempts)

    def _finish(self, kind: str) -> None:
        if not self.over:
            self._report_answer(kind)
            self._record_end(kind)

    def _record_end(self, kind: str) -> None:
        self.over = True
        self.run.records.request_ended(self.index, kind, self.issued_ms, self.submissions, self.attempts)


class Manager:
    """One emulated manager process, which may be killed and started again under its number.

    Attributes:
        incarnation: How often it has started; callbacks of earlier ones are dropped.
        clients: Clients whose requests are open here, by request id.
        listed_phases: Phase of each engine in the endpoint list as this manager holds it.
        list_updated_ms: When that list last changed here.
        step_seconds: Real time spent in steps of the policy.
        steps: How many steps the policy has taken.
    """

    def __init__(self, run: RunContext, number: int, health_checks: SharedHealthChecks | None) -> None:
        self.run, self.number, self.health_checks = run, number, health_checks
        self.incarnation = 0
        self.up = False
        self.clients: dict[str, Client] = {}
        self.listed_phases: dict[str, Phase] = {}
        self.list_updated_ms = 0.0
        self.step_seconds = 0.0
        self.steps = 0

    def start(self) -> None:
        """Start with empty state and the endpoint list as it is."""
        run = self.run
        self.incarnation, self.up, self.clients = self.incarnation + 1, True, {}
        settings = run.world.settings(self.number)
        # The stream's name fixes the draws of a seed and stays as it is.
        seed = run.streams.number(f"manager {self.number} life {self.incarnation}")
        self.rng = random.Random(seed)
        self.core = Dispatcher(settings, seed, run.loop, ManagerPort(self))
        if run.world.policy != "decklb":
            self.core.gateway = POLICIES[run.world.policy](settings, seed)  # type: ignore[assignment]
        if isinstance(self.core.gateway, Oracle):
            self.core.gateway.expected_ms = lambda engine, work_ms, threads: run.engines[engine].expected_ms(
                work_ms, threads
            )
        self._time_steps()
        if self.health_checks is not None:
            self.health_checks.start(self.number, self.incarnation)
        self.update_endpoints([run.endpoint(engine) for engine in run.engines.values()], True)

    def _time_steps(self) -> None:
        step = self.core.gateway.step

        def timed(now: float, events: list[api.Event]) -> list[api.Action]:
            started = time.perf_counter()
            actions = step(now, events)
            self.step_seconds += time.perf_counter() - started
            self.steps += 1
            return actions

        self.core.gateway.step = timed  # type: ignore[method-assign]

    def kill(self) -> None:
        """End without notice; queries that it sent go on running."""
        self.up = False
        self.run.checker.manager_died(self.number)
        if self.health_checks is not None:
            self.health_checks.kill(self.number)
        clients, self.clients = list(self.clients.values()), {}
        for client in clients:
            client.lost()

    def update_endpoints(self, entries: list[Endpoint], complete: bool) -> None:
        """Take an update of the endpoint list; an incomplete one names only what changed."""
        if not self.up:
            return
        if complete:
            self.listed_phases.clear()
        self.listed_phases |= {entry.engine_id: entry.phase for entry in entries}
        self.listed_phases = {n: phase for n, phase in self.listed_phases.items() if phase is not Phase.REMOVED}
        self.list_updated_ms = self.run.loop.now()
        self.core.post_event(api.EndpointsUpdated(entries, complete))
        if self.health_checks is not None:
            self.health_checks.set_targets(self.number, self.listed_phases)

    def health_check_result(self, engine: str, up: bool) -> None:
        """Take what the managers' cluster found out about an engine."""
        if self.up:
            self.core.health_checked(engine, Outcome.SUCCESS if up else Outcome.UNREACHABLE)

    def submit(self, client: Client, work: IncomingRequest) -> None:
        """Take a client's request."""
        client.manager = self
        request = client.request = self.core.submit(work, client)
        self.clients[request.request_id] = client
        self.run.checker.request_arrived(
            self.run.loop.now(), self.number, request.request_id, work.request_class, work.ordering_key
        )

    def answered(self, request: Request, kind: str) -> None:
        """Forget a request whose client has its answer."""
        if self.up:
            self.run.checker.request_answered(self.number, request.request_id, kind)
        self.clients.pop(request.request_id, None)

    def abandon(self, request: Request) -> None:
        """Forget a request whose client has gone."""
        if self.up:
            self.run.checker.client_left(self.number, request.request_id)
            self.clients.pop(request.request_id, None)
            self.core.abandon(request)

    # The dispatcher's engine client, reached through `ManagerPort`.

    def start_attempt(self, attempt: Attempt) -> None:
        """Send one attempt to its engine over the network."""
        run, incarnation = self.run, self.incarnation
        client = self.clients.get(attempt.request.request_id)
        engine = run.engines[attempt.engine_id]
        run.checker.attempt_sent(
            run.loop.now(),
            self.number,
            attempt.request.request_id,
            attempt.engine_id,
            self._knows_draining(attempt.engine_id),
        )
        if client is None:  # answered between decision and send; the dispatcher lets none through
            return attempt.end(Outcome.NEVER_SENT)
        query = run.query(client.index, attempt.number)
        attempt.handle = query

        def receive(outcome: Outcome) -> None:
            if incarnation != self.incarnation or not self.up or attempt.ended or attempt.abandoned:
                return
            run.checker.attempt_ended(self.number, attempt.request.request_id, outcome)
            run.records.attempt_ended(attempt, outcome)
            attempt.end(outcome)

        def answer(outcome: Outcome) -> None:
            if not run.loses_message(self.rng):
                run.loop.call_later(run.one_way_delay_ms(self.rng), lambda: receive(outcome))

        def deliver() -> None:
            if query.state is not QueryState.OVER:  # not cancelled on the way
                engine.submit(query)

        query.on_end = answer
        if not run.loses_message(self.rng):
            run.loop.call_later(run.one_way_delay_ms(self.rng), deliver)

    def _knows_draining(self, engine: str) -> bool:
        # Events reach the policy once a tick: only after that it knows of the update.
        known = self.run.loop.now() - self.list_updated_ms > self.run.world.tick_ms
        return known and self.listed_phases.get(engine) is not Phase.UP

    def abandon_attempt(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """Cancel an attempt; `freed` is called when its engine has received that."""
        run, incarnation, query = self.run, self.incarnation, attempt.handle
        engine = run.engines[attempt.engine_id]
        outcome = Outcome.TIMED_OUT if attempt.timed_out else Outcome.CANCELLED

        def receive_cancel() -> None:
            if isinstance(query, Query):
                if query.state in (QueryState.WAITING, QueryState.RUNNING):
                    engine.cancel(query)
                query.state = QueryState.OVER
            if incarnation == self.incarnation and self.up:
                run.checker.attempt_ended(self.number, attempt.request.request_id, outcome)
                run.records.attempt_ended(attempt, outcome)
                freed()

        run.loop.call_later(run.world.network_delay_ms * (1 + run.world.network_jitter), receive_cancel)


class ManagerPort:
    """The engine client's port of one incarnation of a manager; calls of a killed one are dropped."""

    def __init__(self, manager: Manager) -> None:
        self.manager, self.incarnation = manager, manager.incarnation

    def _current(self) -> bool:
        return self.manager.up and self.manager.incarnation == self.incarnation

    def start(self, attempt: Attempt) -> None:
        """Send one attempt."""
        if self._current():
            self.manager.start_attempt(attempt)

    def abandon(self, attempt: Attempt, freed: Callable[[], None]) -> None:
        """Cancel one attempt."""
        if self._current():
            self.manager.abandon_attempt(attempt, freed)
