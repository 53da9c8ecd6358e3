"""Errors of maintenance, each with what to do about it. Operators read the texts as answers to their requests."""

from __future__ import annotations


class MaintenanceError(ValueError):
    """Base of all: an operator's request that can't be taken, or a plan that can't be kept or sent."""


class InvalidRequestError(MaintenanceError):
    """A request lacks what it needs, or a part of it is of the wrong kind; the text names it."""


class UnknownMachineError(MaintenanceError):
    """The request names no machine that is known."""

    def __init__(self, target: str) -> None:
        super().__init__(f"no engine is called {target!r}, nor is any in a zone of that name; `status` lists them")


class MachineAlreadyPlannedError(MaintenanceError):
    """A machine is in another job that has not ended."""

    def __init__(self, machine: str, job_id: str) -> None:
        super().__init__(f"{machine} is in job {job_id} already; cancel that one first, or leave the machine out")


class UnknownJobError(MaintenanceError):
    """No job of that name is open."""

    def __init__(self, job_id: str) -> None:
        super().__init__(f"no open job is called {job_id!r}; `status` lists them")


class MachineNotOutError(MaintenanceError):
    """A machine is reported as returned that is not out."""

    def __init__(self, machine: str) -> None:
        super().__init__(f"{machine} is not out for work; `status` tells where it stands")


class QuorumUnavailableError(MaintenanceError):
    """A change could not be agreed on in time."""

    def __init__(self) -> None:
        super().__init__(
            "no majority of the members has answered; it may still come to be done: see `status` before asking again"
        )


class PlanTooLargeError(MaintenanceError):
    """The plan has more bytes than members take in one message."""

    def __init__(self, size: int, limit: int) -> None:
        super().__init__(f"the plan has {size} bytes; at most {limit} fit: let jobs end first")


class PlanStoreError(MaintenanceError):
    """The folder of the store can't be used: free room there, or name another."""
