"""The core embedded in an ASGI application, on its own event loop."""

from decklb.middleware.asgi import Ask, WorkloadMiddleware

__all__ = ["Ask", "WorkloadMiddleware"]
