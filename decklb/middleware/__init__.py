"""The dispatcher embedded in an ASGI application, running on the application's event loop.

Public API: `WorkloadMiddleware` wraps an application, `RequestSpec` specifies how to manage a request, and `Members`
joins the processes of an application into a fleet. `Ask` is the deprecated former name of `RequestSpec`.
"""

from typing import Any

from decklb.middleware.middleware import WorkloadMiddleware
from decklb.middleware.requests import Ask, RequestSpec

__all__ = ["Ask", "Members", "RequestSpec", "WorkloadMiddleware"]


def __getattr__(name: str) -> Any:
    """Import `Members` on first use, since it imports the cluster and its libraries."""
    if name == "Members":
        from decklb.middleware.members import Members

        return Members
    raise AttributeError(name)
