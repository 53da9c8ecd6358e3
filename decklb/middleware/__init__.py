"""The dispatcher embedded in an ASGI application, on the application's own event loop.

Public: `WorkloadMiddleware` wraps an application, `RequestSpec` says how to manage a request, `Members` joins the
processes of an application into a fleet. `Ask` is the deprecated former name of `RequestSpec`.
"""

from typing import Any

from decklb.middleware.middleware import WorkloadMiddleware
from decklb.middleware.requests import Ask, RequestSpec

__all__ = ["Ask", "Members", "RequestSpec", "WorkloadMiddleware"]


def __getattr__(name: str) -> Any:
    """`Members` brings in the cluster and its libraries, so it is imported by those that name it."""
    if name == "Members":
        from decklb.middleware.members import Members

        return Members
    raise AttributeError(name)
