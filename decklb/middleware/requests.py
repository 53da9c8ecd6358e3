"""What the application's owner says of a request, and the request as the dispatcher takes it."""

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
        tenant: Whose it is; "" where the settings name no tenants.
        budget_ms: How long it may take, in ms; 0 is the deadline of its class.
        table_group: The group of tables that it works on; 0 is none.
        ordering_key: Requests of one key run in order; None is no key.
        idempotency_key: Names the request, so that its client may come back for the answer to any process of the
            fleet; "" is none, and it has no effect without a fleet.
    """

    request_class: str
    tenant: str = ""
    budget_ms: float = 0.0
    table_group: int = 0
    ordering_key: str | None = None
    idempotency_key: str = ""


def _former_name(field_name: str) -> Any:
    return property(lambda spec: getattr(spec, field_name), lambda spec, value: setattr(spec, field_name, value))


class Ask(RequestSpec):
    """Deprecated: the former name of `RequestSpec`, with the former names of its fields."""

    __slots__ = ()
    lane = _former_name("request_class")
    budget = _former_name("budget_ms")
    tables = _former_name("table_group")
    key = _former_name("ordering_key")
    once = _former_name("idempotency_key")

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
class AsgiWork(IncomingRequest):
    """A request with what the application needs to answer it.

    Attributes:
        scope: Its ASGI scope.
        response: The complete response, once an attempt has succeeded.
    """

    scope: Scope = field(default_factory=dict)
    response: list[Message] = field(default_factory=list)
