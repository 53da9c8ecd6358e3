"""Emulated managers, each with the real dispatcher and a policy, and the clients that submit requests to them.

A `Manager` is the engine client of its own dispatcher (through `ManagerPort`) and carries attempts over the emulated
network. A `Client` is the response sink (`core.ports`) of one request and retries like a real client. `emulator.Run`
creates both. They report all events to the run's invariant checker and records.
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

MIN_CLIENT_BACKOFF_MS = 50.0  # minimum delay in ms before a client submits a rejected request again


class Client:
    """The client of one request of the workload, from the first submission to the final answer; a response sink.

    Attributes:
        context: Shared state of the run.
        index: Index of the request in the arrivals.
        submissions: Number of times that the request has been submitted to a manager.
        attempts: Number of attempts that managers made for it, over all submissions.
        issued_ms: Time of the first submission.
        manager: Manager of the latest submission.
        request: The dispatcher's request of the latest submission.
        finished: The client has its final answer, has given up, or lost the request when its manager was killed.
    """

    __slots__ = (
        "context",
        "index",
        "submissions",
        "issued_ms",
        "manager",
        "request",
        "attempts",
        "finished",
        "_submit",
    )

    def __init__(self, context: RunContext, index: int, submit: Callable[[Client], None]) -> None:
        self.context, self.index, self._submit = context, index, submit
        self.submissions, self.attempts = 0, 0
        self.issued_ms = context.loop.now()
        self.manager: Manager | None = None
        self.request: Request | None = None
        self.finished = False

    def served(self, result: bytes) -> None:
        """Record that the request was served."""
        self._finish("served")

    def rejected(self, retry_after_ms: float) -> None:
        """Submit the request again after a delay, if the client has retries and time left."""
        if self.finished:  # the manager was killed, so its pending calls are ignored
            return
        context = self.context
        spec = context.world.workload.classes[context.arrivals.class_index[self.index]]
        delay_ms = max(retry_after_ms, MIN_CLIENT_BACKOFF_MS)
        time_left_ms = self.issued_ms + spec.deadline_ms - context.loop.now()
        if self.submissions <= context.world.workload.client_retries and time_left_ms > delay_ms:
            self._report_answer("refused")
            context.loop.call_later(delay_ms, lambda: self._submit(self))
        else:
            self._finish("refused")

    def failed(self) -> None:
        """Record that the request failed; it may have been executed."""
        self._finish("failed")

    def leave(self) -> None:
        """Abandon the request, since the client does not wait any longer."""
        if self.finished:
            return
        if self.manager is not None and self.request is not None and not self.request.answered:
            self.manager.abandon(self.request)
        self._record_end("left")

    def mark_lost(self) -> None:
        """Record that the request was lost because its manager was killed."""
        if not self.finished:
            self._record_end("lost")

    def _report_answer(self, kind: str) -> None:
        if self.manager is not None and self.request is not None:
            self.manager.answered(self.request, kind)
            self.attempts += len(self.request.attempts)

    def _finish(self, kind: str) -> None:
        if not self.finished:
            self._report_answer(kind)
            self._record_end(kind)

    def _record_end(self, kind: str) -> None:
        self.finished = True
        self.context.records.request_ended(self.index, kind, self.issued_ms, self.submissions, self.attempts)


class Manager:
    """One emulated manager process, which may be killed and started again under the same number.

    Attributes:
        context: Shared state of the run.
        number: Number of the manager, from 0.
        health_checks: The health checks shared by all managers, if there are any.
        incarnation: Number of starts so far; callbacks of earlier incarnations are ignored.
        up: The manager is running.
        clients: Clients with an open request at this manager, by request id.
        listed_phases: Phase of each engine in this manager's copy of the endpoint list.
        list_updated_ms: Time of the last update of that copy.
        step_seconds: Real time spent in steps of the policy.
        steps: Number of steps of the policy.
    """

    def __init__(self, context: RunContext, number: int, health_checks: SharedHealthChecks | None) -> None:
        self.context, self.number, self.health_checks = context, number, health_checks
        self.incarnation = 0
        self.up = False
        self.clients: dict[str, Client] = {}
        self.listed_phases: dict[str, Phase] = {}
        self.list_updated_ms = 0.0
        self.step_seconds = 0.0
        self.steps = 0

    def start(self) -> None:
        """Start with empty state and the current endpoint list."""
        context = self.context
        self.incarnation, self.up, self.clients = self.incarnation + 1, True, {}
        settings = context.world.settings(self.number)
        # The name of the stream must not change: it determines the random numbers of a seed.
        seed = context.streams.number(f"manager {self.number} life {self.incarnation}")
        self.rng = random.Random(seed)
        self.core = Dispatcher(settings, seed, context.loop, ManagerPort(self))
        if context.world.policy != "decklb":
            self.core.gateway = POLICIES[context.world.policy](settings, seed)  # type: ignore[assignment]
        if isinstance(self.core.gateway, Oracle):
            self.core.gateway.expected_ms = lambda engine, work_ms, threads: context.engines[engine].expected_ms(
                work_ms, threads
            )
        self._time_steps()
        if self.health_checks is not None:
            self.health_checks.start(self.number, self.incarnation)
        self.update_endpoints([context.endpoint(engine) for engine in context.engines.values()], True)

    def _time_steps(self) -> None:
        step = self.core.gateway.step

        def timed_step(now: float, events: list[api.Event]) -> list[api.Action]:
            started = time.perf_counter()
            actions = step(now, events)
            self.step_seconds += time.perf_counter() - started
            self.steps += 1
            return actions

        self.core.gateway.step = timed_step  # type: ignore[method-assign]

    def kill(self) -> None:
        """Stop without notice; the queries that it has sent continue to run."""
        self.up = False
        self.context.checker.manager_killed(self.number)
        if self.health_checks is not None:
            self.health_checks.kill(self.number)
        clients, self.clients = list(self.clients.values()), {}
        for client in clients:
            client.mark_lost()

    def update_endpoints(self, entries: list[Endpoint], complete: bool) -> None:
        """Process an update of the endpoint list: the complete list or only the changed entries."""
        if not self.up:
            return
        if complete:
            self.listed_phases.clear()
        self.listed_phases |= {entry.engine_id: entry.phase for entry in entries}
        self.listed_phases = {name: phase for name, phase in self.listed_phases.items() if phase is not Phase.REMOVED}
        self.list_updated_ms = self.context.loop.now()
        self.core.post_event(api.EndpointsUpdated(entries, complete))
        if self.health_checks is not None:
            self.health_checks.set_targets(self.number, self.listed_phases)

    def health_check_result(self, engine: str, up: bool) -> None:
        """Pass the result of a shared health check to the dispatcher."""
        if self.up:
            self.core.health_checked(engine, Outcome.SUCCESS if up else Outcome.UNREACHABLE)

    def submit(self, client: Client, incoming_request: IncomingRequest) -> None:
        """Pass a client's request to the dispatcher."""
        client.manager = self
        request = client.request = self.core.submit(incoming_request, client)
        self.clients[request.request_id] = client
        self.context.checker.request_arrived(
            self.context.loop.now(),
            self.number,
            request.request_id,
            incoming_request.request_class,
            incoming_request.ordering_key,
        )

    def answered(self, request: Request, kind: str) -> None:
        """Remove a request whose client has received an answer."""
        if self.up:
            self.context.checker.request_answered(self.number, request.request_id, kind)
        self.clients.pop(request.request_id, None)

    def abandon(self, request: Request) -> None:
        """Remove a request whose client has left."""
        if self.up:
            self.context.checker.client_left(self.number, request.request_id)
            self.clients.pop(request.request_id, None)
            self.core.abandon(request)

    # Engine client of the dispatcher, called through `ManagerPort`.

    def start_attempt(self, attempt: Attempt) -> None:
        """Send one attempt to its engine over the emulated network."""
        context, incarnation = self.context, self.incarnation
        client = self.clients.get(attempt.request.request_id)
        engine = context.engines[attempt.engine_id]
        context.checker.attempt_sent(
            context.loop.now(),
            self.number,
            attempt.request.request_id,
            attempt.engine_id,
            self._knows_draining(attempt.engine_id),
        )
        if client is None:  # already answered; the dispatcher should never send such an attempt
            return attempt.end(Outcome.NEVER_SENT)
        query = context.query(client.index, attempt.number)
        attempt.handle = query

        def receive(outcome: Outcome) -> None:
            if incarnation != self.incarnation or not self.up or attempt.ended or attempt.abandoned:
                return
            context.checker.attempt_ended(self.number, attempt.request.request_id, outcome)
            context.records.attempt_ended(attempt, outcome)
            attempt.end(outcome)

        def answer(outcome: Outcome) -> None:
            if not context.loses_message(self.rng):
                context.loop.call_later(context.one_way_delay_ms(self.rng), lambda: receive(outcome))

        def deliver() -> None:
            if query.state is not QueryState.OVER:  # not cancelled while the message was in transit
                engine.submit(query)

        query.on_end = answer
        if not context.loses_message(self.rng):
            context.loop.call_later(context.one_way_delay_ms(self.rng), deliver)

    def _knows_draining(self, engine: str) -> bool:
        # The policy receives events once per tick, so it may not know of an update before a tick has passed.
        known = self.context.loop.now() - self.list_updated_ms > self.context.world.tick_ms
        return known and self.listed_phases.get(engine) is not Phase.UP

    def abandon_attempt(self, attempt: Attempt, on_released: Callable[[], None]) -> None:
        """Cancel an attempt; `on_released` is called when its engine has received the cancellation."""
        context, incarnation, query = self.context, self.incarnation, attempt.handle
        engine = context.engines[attempt.engine_id]
        outcome = Outcome.TIMED_OUT if attempt.timed_out else Outcome.CANCELLED

        def receive_cancel() -> None:
            if isinstance(query, Query):
                if query.state in (QueryState.WAITING, QueryState.RUNNING):
                    engine.cancel(query)
                query.state = QueryState.OVER
            if incarnation == self.incarnation and self.up:
                context.checker.attempt_ended(self.number, attempt.request.request_id, outcome)
                context.records.attempt_ended(attempt, outcome)
                on_released()

        context.loop.call_later(context.world.network_delay_ms * (1 + context.world.network_jitter), receive_cancel)


class ManagerPort:
    """The engine client of one incarnation of a manager; calls after that incarnation was killed are ignored."""

    def __init__(self, manager: Manager) -> None:
        self.manager, self.incarnation = manager, manager.incarnation

    def _is_current(self) -> bool:
        return self.manager.up and self.manager.incarnation == self.incarnation

    def start(self, attempt: Attempt) -> None:
        """Start one attempt."""
        if self._is_current():
            self.manager.start_attempt(attempt)

    def abandon(self, attempt: Attempt, on_released: Callable[[], None]) -> None:
        """Cancel one attempt."""
        if self._is_current():
            self.manager.abandon_attempt(attempt, on_released)
