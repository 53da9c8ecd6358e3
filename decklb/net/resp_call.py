"""One attempt on a RESP connection and the pages of its result that have come. No I/O.

A result comes as a first page (`data`, which names how many there are) and further pages that are asked for. Owned by
the engine connection that carries the attempt.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from decklb.core.dispatcher import Attempt
from decklb.net.resp import RespError

if TYPE_CHECKING:
    from decklb.net.engine_connection import RespConnection

MAX_RESULT_BYTES = 48_000  # of a whole result, a bound of the platform's protocol
MAX_PAGES = 64  # of one result, likewise


class RespCall:
    """An attempt on a connection."""

    __slots__ = ("attempt", "connection", "pages", "size", "stalled_sweeps", "sent", "has_run")

    def __init__(self, attempt: Attempt, connection: RespConnection) -> None:
        self.attempt, self.connection = attempt, connection
        self.sent = False  # given to the transport
        self.has_run = False  # the engine has shown that it ran
        self.pages: list[bytes | None] = []  # None where a page lacks; empty before the first
        self.size = 0  # bytes of the pages that have come
        self.stalled_sweeps = 0  # sweeps since the last page came

    @property
    def request_id(self) -> bytes:
        """The client's own id, which goes to the engine unchanged."""
        return self.attempt.request.incoming.client_request_id.encode()

    def begin_result(self, page_count: int, first_page: bytes) -> None:
        """Take the first page. Raises RespError as `add_page`."""
        self.pages = [None] * page_count
        self.has_run = True
        self.add_page(0, first_page)

    def add_page(self, number: int, body: bytes) -> None:
        """Take one page; a second copy is ignored.

        Raises:
            RespError: the page is not made of rows of three columns, or the result is too large.
        """
        if body and (body[-1:] != b"\n" or body.count(b"\t") != 2 * body.count(b"\n")):
            raise RespError("a page is not made of rows")
        if self.pages[number] is None:
            self.pages[number] = body
            self.size += len(body)
            self.stalled_sweeps = 0
        if self.size > MAX_RESULT_BYTES:
            raise RespError("a result is too large")

    def complete_result(self) -> bytes | None:
        """The result if no page lacks."""
        pages = [page for page in self.pages if page is not None]
        return b"".join(pages) if len(pages) == len(self.pages) else None
