"""An attempt on a RESP connection and the received pages of its result. No I/O.

A result consists of a first page (`data`, which states the number of pages) and further pages sent on request. Owned by
the engine connection that carries the attempt.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from decklb.core.attempts import Attempt
from decklb.core.memory_account import SMALL_MESSAGE_BYTES
from decklb.net.resp import RespError

if TYPE_CHECKING:
    from decklb.net.engine_connection import RespConnection

MAX_RESULT_BYTES = 48_000  # of a complete result, a limit of the platform's protocol
MAX_PAGES = 64  # of a result, likewise


class RespCall:
    """An attempt on a connection."""

    __slots__ = ("attempt", "connection", "pages", "size", "stalled_sweeps", "sent", "has_run")

    def __init__(self, attempt: Attempt, connection: RespConnection) -> None:
        self.attempt, self.connection = attempt, connection
        self.sent = False  # passed to the transport
        self.has_run = False  # progress or a page has shown that it was executed
        self.pages: list[bytes | None] = []  # None for missing pages; empty before the first page
        self.size = 0  # bytes in the received pages
        self.stalled_sweeps = 0  # sweeps since the last page was received

    @property
    def request_id(self) -> bytes:
        """The request id of the client, which is sent to the engine unchanged."""
        return self.attempt.request.incoming.client_request_id.encode()

    @property
    def is_large(self) -> bool:
        """Whether its statement is large."""
        return len(self.attempt.request.incoming.statement) > SMALL_MESSAGE_BYTES

    def begin_result(self, page_count: int, first_page: bytes) -> None:
        """Add the first page. Raises RespError as `add_page` does."""
        self.pages = [None] * page_count
        self.has_run = True
        self.add_page(0, first_page)

    def add_page(self, number: int, body: bytes) -> None:
        """Add one page; a repeated page is ignored.

        Raises:
            RespError: The page does not consist of rows of three columns, or the result is too large.
        """
        if body and (body[-1:] != b"\n" or body.count(b"\t") != 2 * body.count(b"\n")):
            raise RespError("a page does not consist of rows of three columns")
        if self.pages[number] is None:
            self.pages[number] = body
            self.size += len(body)
            self.stalled_sweeps = 0
        if self.size > MAX_RESULT_BYTES:
            raise RespError("the result is too large")

    def complete_result(self) -> bytes | None:
        """Return the result, or None if a page is missing."""
        pages = [page for page in self.pages if page is not None]
        return b"".join(pages) if len(pages) == len(self.pages) else None
