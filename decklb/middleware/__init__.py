"""The core embedded in an ASGI application, on its own event loop."""

from typing import Any

from decklb.middleware.middleware import Ask, WorkloadMiddleware

__all__ = ["Ask", "Members", "WorkloadMiddleware"]


def __getattr__(name: str) -> Any:
    """`Members` brings in the cluster and its libraries, so it is imported by those that name it."""
    if name == "Members":
        from decklb.middleware.members import Members

        return Members
    raise AttributeError(name)
