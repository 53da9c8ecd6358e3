"""Constants of the engines' RESP protocol: commands, types of replies, fields, and the outcomes that replies stand for.

A command is `COMMAND ID ...`, a reply `ID TYPE FIELDS BODY`; ids are the request ids of the clients.
"""

from __future__ import annotations

from decklb.interface import Outcome

# Commands.
START = b"do"  # ID FIELDS STATEMENT: start an attempt
GET_PAGE = b"page"  # ID NUMBER: send a page of the result
CANCEL = b"undo"  # ID: cancel the attempt
RELEASE = b"forget"  # ID: the pages of its result may be discarded
PING = b"ping"  # TAG

# Types of replies.
FIRST_PAGE = b"data"  # first page of a result; states the number of pages
PAGE = b"page"  # a further page, on request
PROGRESS = b"news"
PONG = b"well"  # with the tag of the ping
OUTCOMES = {b"full": Outcome.OVERLOADED, b"failed": Outcome.ERROR, b"moot": Outcome.NEVER_SENT}  # ends without a result

# Fields of a start command.
CLASS_FIELD = "queue"  # request class
BUDGET_FIELD = "budget"  # remaining ms
TOKEN_FIELD = "uniq"  # the client's deduplication token, unchanged

# Fields of replies.
PAGE_COUNT_FIELD = "parts"
PAGE_NUMBER_FIELD = "part_no"
PROGRESS_KIND_FIELD = "detail"
PROGRESS_LEVEL_FIELD = "value"

# Kinds of progress, see `decklb.interface.AttemptProgress`.
PROGRESS_DONE = 1
PROGRESS_SPILLED = 2
PROGRESS_WAITING = 3
PROGRESS_KINDS = {"p": PROGRESS_DONE, "s": PROGRESS_SPILLED, "w": PROGRESS_WAITING}
