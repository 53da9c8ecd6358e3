"""The words and field names of the engines' RESP protocol, and what they mean to the core. Constants alone.

A command is `WORD ID ...`, a reply `ID WORD FIELDS BODY`; ids are the clients' request ids.
"""

from __future__ import annotations

from decklb.interface import Outcome

# Commands.
START = b"do"  # ID FIELDS STATEMENT: start an attempt
GET_PAGE = b"page"  # ID N: send a page of its result
CANCEL = b"undo"  # ID: nobody waits for it any more
RELEASE = b"forget"  # ID: its pages are no longer needed
PING = b"ping"  # TAG

# Replies.
FIRST_PAGE = b"data"  # of a result; names the number of pages
PAGE = b"page"  # a further page that was asked for
PROGRESS = b"news"
PONG = b"well"  # under the tag of a ping
OUTCOMES = {b"full": Outcome.OVERLOADED, b"failed": Outcome.ERROR, b"moot": Outcome.NEVER_SENT}  # ends without a result

# Fields of a start command.
CLASS_FIELD = "queue"  # request class
BUDGET_FIELD = "budget"  # ms that are left
TOKEN_FIELD = "uniq"  # the client's token, unchanged

# Fields of replies.
PAGE_COUNT_FIELD = "parts"
PAGE_NUMBER_FIELD = "part_no"
PROGRESS_KIND_FIELD = "detail"
PROGRESS_LEVEL_FIELD = "value"

# Kinds of progress, see `decklb.interface.Progress`.
PROGRESS_DONE = 1
PROGRESS_SPILLED = 2
PROGRESS_WAITING = 3
PROGRESS_KINDS = {"p": PROGRESS_DONE, "s": PROGRESS_SPILLED, "w": PROGRESS_WAITING}
