"""SQLSTATE codes that the front sends or recognizes, under PostgreSQL's condition names.

Source: PostgreSQL documentation, appendix A, "PostgreSQL Error Codes".
"""

from typing import Final

# Class 08: connection exception.
PROTOCOL_VIOLATION: Final = "08P01"
# Class 0A: feature not supported.
FEATURE_NOT_SUPPORTED: Final = "0A000"
# Class 22: data exception.
CHARACTER_NOT_IN_REPERTOIRE: Final = "22021"
INVALID_PARAMETER_VALUE: Final = "22023"
# Class 26: invalid SQL statement name.
INVALID_SQL_STATEMENT_NAME: Final = "26000"
# Class 34: invalid cursor name; PostgreSQL uses it for portals as well.
INVALID_CURSOR_NAME: Final = "34000"
# Class 40: transaction rollback.
STATEMENT_COMPLETION_UNKNOWN: Final = "40003"
# Class 42: syntax error or access rule violation.
DUPLICATE_CURSOR: Final = "42P03"
DUPLICATE_PREPARED_STATEMENT: Final = "42P05"
UNDEFINED_OBJECT: Final = "42704"
# Class 53: insufficient resources.
INSUFFICIENT_RESOURCES: Final = "53000"
OUT_OF_MEMORY: Final = "53200"
TOO_MANY_CONNECTIONS: Final = "53300"
# Class 54: program limit exceeded.
PROGRAM_LIMIT_EXCEEDED: Final = "54000"
# Class 57: operator intervention.
QUERY_CANCELED: Final = "57014"
ADMIN_SHUTDOWN: Final = "57P01"
CANNOT_CONNECT_NOW: Final = "57P03"
