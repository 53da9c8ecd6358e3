"""PostgreSQL clients of real managers that name their statements."""

from __future__ import annotations

import time

import psycopg

from decklb.lab.fault_runs.handoff_run import RETRYABLE_SQLSTATES


class Session:
    """A stock client of one manager."""

    def __init__(self, fleet, name, lane, key, more=""):
        self.link = psycopg.connect(
            host="127.0.0.1",
            port=fleet.ports[name],
            user="u",
            autocommit=True,
            options=f"-c decklb.class={lane} -c decklb.request={key} {more}",
        )

    def run(self, sql):
        """The row; None where the client is to come back, and the text of any other error."""
        try:
            return self.link.execute(sql).fetchone()[0]
        except psycopg.errors.Error as error:
            state = error.sqlstate or "08006"
            return None if state in RETRYABLE_SQLSTATES else f"{state} {error}"
        finally:
            self.link.close()


def final(fleet, name, lane, key, sql):
    """What a client gets that asks one manager until it has a final answer."""
    end = time.monotonic() + 20.0
    while time.monotonic() < end:
        row = Session(fleet, name, lane, key).run(sql)
        if row is not None:
            return row
        time.sleep(0.05)
    raise AssertionError(f"no final answer for {key} at {name}")
