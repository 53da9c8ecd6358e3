"""How the application wants a request to be managed (`RequestSpec`), and the request that the dispatcher receives."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from decklb.core.ports import IncomingRequest
from decklb.middleware.asgi import Message, Scope


@dataclass(slots=True)
class RequestSpec:
    """How to manage a request: what the `classify` function of `WorkloadMiddleware` returns.

    Attributes:
        request_class: Its class, one of the settings' classes.
        tenant: Its tenant; "" if the settings define no tenants.
        budget_ms: Its time budget in ms; 0: the deadline of its class.
        table_group: The table group that it uses; 0: none.
        ordering_key: Requests with the same key run in order; None: no key.
        idempotency_key: Identifies the request, so that the client can ask any process of the fleet for its answer
            again; "": no key. Without a fleet it has no effect.
    """

    request_class: str
    tenant: str = ""
    budget_ms: float = 0.0
    table_group: int = 0
    ordering_key: str | None = None
    idempotency_key: str = ""


def _alias(field_name: str) -> Any:
    return property(lambda spec: getattr(spec, field_name), lambda spec, value: setattr(spec, field_name, value))


class Ask(RequestSpec):
    """Deprecated: the former name of `RequestSpec`, with the former names of its fields."""

    __slots__ = ()
    lane = _alias("request_class")
    budget = _alias("budget_ms")
    tables = _alias("table_group")
    key = _alias("ordering_key")
    once = _alias("idempotency_key")

    def __init__(
        self,
        lane: str,
        tenant: str = "",
        budget: float = 0.0,
        tables: int = 0,
        key: str | None = None,
        once: str = "",
    ) -> None:
        super().__init__(lane, tenant, budget, tables, key, once)


@dataclass(slots=True)
class AsgiRequest(IncomingRequest):
    """A request with its ASGI scope and response.

    Attributes:
        scope: The ASGI scope.
        response: The complete response after a successful attempt.
    """

    scope: Scope = field(default_factory=dict)
    response: list[Message] = field(default_factory=list)
