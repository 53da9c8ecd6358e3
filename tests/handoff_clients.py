"""PostgreSQL clients that send statements with idempotency keys to real managers."""

from __future__ import annotations

import time

import psycopg

from decklb.lab.fault_runs.retrying_client import RETRYABLE_SQLSTATES


class Session:
    """A standard PostgreSQL client connected to one manager."""

    def __init__(self, fleet, name, class_name, key, extra_options=""):
        self.connection = psycopg.connect(
            host="127.0.0.1",
            port=fleet.ports[name],
            user="u",
            autocommit=True,
            options=f"-c decklb.class={class_name} -c decklb.request={key} {extra_options}",
        )

    def run(self, sql):
        """Return the row; None if the client should retry; the SQLSTATE and text of any other error."""
        try:
            return self.connection.execute(sql).fetchone()[0]
        except psycopg.errors.Error as error:
            sqlstate = error.sqlstate or "08006"
            return None if sqlstate in RETRYABLE_SQLSTATES else f"{sqlstate} {error}"
        finally:
            self.connection.close()


def final_answer(fleet, name, class_name, key, sql):
    """Retry a statement at one manager until there is a final answer, and return that."""
    deadline = time.monotonic() + 20.0
    while time.monotonic() < deadline:
        row = Session(fleet, name, class_name, key).run(sql)
        if row is not None:
            return row
        time.sleep(0.05)
    raise AssertionError(f"no final answer for {key} at {name}")
