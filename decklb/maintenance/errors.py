"""Errors of maintenance. Operators receive the messages as answers, so each message says what to do."""

from __future__ import annotations


class MaintenanceError(ValueError):
    """Base class: an operator's request cannot be accepted, or a plan cannot be stored or sent."""


class InvalidRequestError(MaintenanceError):
    """A field of a request is missing or invalid; the message names it."""


class UnknownMachineError(MaintenanceError):
    """A target of the request matches no known machine."""

    def __init__(self, target: str) -> None:
        super().__init__(f"{target!r} matches no engine, zone or manager; `status` lists the known machines")


class MachineAlreadyPlannedError(MaintenanceError):
    """A machine is in another job that has not finished."""

    def __init__(self, machine: str, job_id: str) -> None:
        super().__init__(f"{machine} is in job {job_id} already; cancel that job first, or omit the machine")


class UnknownJobError(MaintenanceError):
    """There is no active job of that name."""

    def __init__(self, job_id: str) -> None:
        super().__init__(f"no active job is named {job_id!r}; `status` lists the jobs")


class MachineNotOutError(MaintenanceError):
    """A machine was reported as returned but is not out."""

    def __init__(self, machine: str) -> None:
        super().__init__(f"{machine} is not out for maintenance; `status` shows its stage")


class QuorumUnavailableError(MaintenanceError):
    """No majority of the members confirmed a change in time."""

    def __init__(self) -> None:
        super().__init__(
            "no majority of the members answered in time; the change may still take effect: "
            "check `status` before retrying"
        )


class PlanTooLargeError(MaintenanceError):
    """The plan has more bytes than fit into one message between members."""

    def __init__(self, size: int, limit: int) -> None:
        super().__init__(f"the plan has {size} bytes, but at most {limit} are allowed; wait until jobs have finished")


class PlanStoreError(MaintenanceError):
    """The folder of the store cannot be used: free disk space there, or configure another folder."""
