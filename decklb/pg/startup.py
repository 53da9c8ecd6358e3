"""Start of a session: parsing the client's first messages, the parameters that they set, and the reply.

Pure functions, called by `decklb.pg.connection`. Clients are not asked to authenticate.

Source: PostgreSQL documentation, chapter "Frontend/Backend Protocol", sections "Start-up" and "Canceling Requests in
Progress".
"""

from __future__ import annotations

import struct
from collections import deque
from dataclasses import dataclass

from decklb.interface import Settings
from decklb.pg import messages as pg
from decklb.pg import sqlstate
from decklb.pg.errors import PgError
from decklb.pg.messages import BackendKey, BackendType
from decklb.pg.parameters import PARAMETER_PREFIX, REPORTED_PARAMETERS, STATEMENT_TIMEOUT, SessionParameters
from decklb.pg.settings import PgSettings

ENCRYPTION_REFUSED = b"N"  # reply to SSLRequest and GSSENCRequest: the client continues unencrypted
SUPPORTED_MAJOR_VERSION = 3
PROTOCOL_OPTION_PREFIX = "_pq_."  # prefix of parameters that are protocol options; none is supported


@dataclass(slots=True)
class EncryptionRequest:
    """SSLRequest or GSSENCRequest: another first message follows."""


@dataclass(slots=True)
class CancelRequest:
    """Asks to cancel the running statement of another session; the connection is closed afterwards."""

    key: BackendKey


@dataclass(slots=True)
class StartupMessage:
    """Starts a session.

    Attributes:
        minor_version: Minor version of protocol 3.
        parameters: Its parameters by name, including `user`, `database` and `options`.
    """

    minor_version: int
    parameters: dict[str, str]


def read_startup(payload: bytes) -> EncryptionRequest | CancelRequest | StartupMessage:
    """Parse the payload of a message without a type octet. Raises PgError."""
    fields = pg.PayloadReader(payload)
    code = fields.integer("I")
    if code in (pg.SSL_REQUEST_CODE, pg.GSSENC_REQUEST_CODE):
        return EncryptionRequest()
    if code == pg.CANCEL_REQUEST_CODE:
        return CancelRequest(BackendKey(process_id=fields.integer("I"), secret_key=fields.integer("I")))
    major_version, minor_version = code >> 16, code & 0xFFFF
    if major_version != SUPPORTED_MAJOR_VERSION:
        text = f"unsupported protocol {major_version}.{minor_version}"
        raise PgError(sqlstate.PROTOCOL_VIOLATION, text, fatal=True)
    parameters: dict[str, str] = {}
    while name := fields.string():
        parameters[name] = fields.string()
    return StartupMessage(minor_version, parameters)


def initial_parameters(startup: StartupMessage, postgres: PgSettings, workload: Settings) -> SessionParameters:
    """Return the initial parameters of a session. Raises a fatal PgError if the client sets an invalid one."""
    parameters = postgres.users.get(startup.parameters.get("user", ""), postgres.defaults)
    try:
        for name, value in _assignments(startup.parameters):
            parameters = parameters.set(name, value, workload)
    except PgError as error:
        raise PgError(error.sqlstate, error.message, error.hint, fatal=True) from None
    return parameters


def _assignments(parameters: dict[str, str]) -> list[tuple[str, str]]:
    """Return the assignments of session parameters in a StartupMessage.

    These are decklb.*, statement_timeout, and `options` with -c name=value or --name=value.
    """
    assignments = [
        (name, value)
        for name, value in parameters.items()
        if name.startswith(PARAMETER_PREFIX) or name == STATEMENT_TIMEOUT
    ]
    escaped_space = "\0"
    words = deque(parameters.get("options", "").replace("\\ ", escaped_space).split())
    while words:
        word = words.popleft()
        if word == "-c" and words:
            word = words.popleft()
        elif word.startswith(("--", "-c")):
            word = word[2:]
        name, _, value = word.replace(escaped_space, " ").partition("=")
        assignments.append((name.replace("-", "_").lower(), value))
    return assignments


def startup_reply(startup: StartupMessage, key: BackendKey) -> bytes:
    """Return the messages that answer a StartupMessage, up to the first ReadyForQuery."""
    reply = pg.AUTHENTICATION_OK
    unsupported = [name for name in startup.parameters if name.startswith(PROTOCOL_OPTION_PREFIX)]
    if startup.minor_version or unsupported:
        newest_minor_version = 0
        payload = struct.pack(">II", newest_minor_version, len(unsupported))
        payload += b"".join(map(pg.pack_string, unsupported))
        reply = pg.pack(BackendType.NEGOTIATE_PROTOCOL_VERSION, payload) + reply
    for name, value in REPORTED_PARAMETERS.items():
        reply += pg.pack_parameter_status(name, value)
    key_data = struct.pack(">II", key.process_id, key.secret_key)
    return reply + pg.pack(BackendType.BACKEND_KEY_DATA, key_data) + pg.READY_FOR_QUERY
