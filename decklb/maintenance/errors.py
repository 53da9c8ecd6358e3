"""Errors of maintenance. Most messages are answers of the control socket to operators, so each says what to do."""

from __future__ import annotations


class MaintenanceError(ValueError):
    """Base class: an operator's request cannot be accepted, or a plan cannot be stored or sent."""


class InvalidRequestError(MaintenanceError):
    """A field of a request is missing or invalid; the message names it."""


class UnknownMachineError(MaintenanceError):
    """A target of the request matches no known machine."""

    def __init__(self, target: str) -> None:
        super().__init__(f"no engine is called {target!r}, nor is any in a zone of that name; `status` lists them")


class MachineAlreadyPlannedError(MaintenanceError):
    """A machine is in another job that has not finished."""

    def __init__(self, machine: str, job_id: str) -> None:
        super().__init__(f"{machine} is in job {job_id} already; cancel that one first, or leave the machine out")


class UnknownJobError(MaintenanceError):
    """There is no active job of that name."""

    def __init__(self, job_id: str) -> None:
        super().__init__(f"no open job is called {job_id!r}; `status` lists them")


class MachineNotOutError(MaintenanceError):
    """A machine was reported as returned but is not out."""

    def __init__(self, machine: str) -> None:
        super().__init__(f"{machine} is not out for work; `status` tells where it stands")


class QuorumUnavailableError(MaintenanceError):
    """No majority of the members confirmed a change in time."""

    def __init__(self) -> None:
        super().__init__(
            "no majority of the members has answered; it may still come to be done: see `status` before asking again"
        )


class PlanTooLargeError(MaintenanceError):
    """The plan has more bytes than fit into one message between members."""

    def __init__(self, size: int, limit: int) -> None:
        super().__init__(f"the plan has {size} bytes, but at most {limit} are allowed; wait until jobs have finished")


class PlanStoreError(MaintenanceError):
    """The folder of the store cannot be used: free disk space there, or configure another folder."""
