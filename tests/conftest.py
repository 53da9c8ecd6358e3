"""Which tests run side by side: each file in one worker, and those that start fleets of processes one after another.

Tests that KNOWN-RED.txt lists are expected to fail; they are printed at the end of each run.
"""

import pytest

from tests import known_red
from tests.pg_program import running_pg_program

FLEETS = {
    "test_handoff_program": "fleets-1",
    "test_handoff_restarts": "fleets-1",
    "test_upkeep": "fleets-2",
    "test_regions": "fleets-2",
    "test_middleware_fleet": "fleets-2",
    "test_rig_program": "fleets-2",
    "test_shared_health_checks_program": "fleets-2",
    "test_system_calls": "fleets-1",
    "test_live": "fleets-2",
}


@pytest.fixture
def pg_program():
    """The program with PostgreSQL engines behind it; see `tests/pg_program.py`."""
    with running_pg_program() as program:
        yield program


def pytest_collection_modifyitems(items):
    expected = known_red.load()
    for item in items:
        name = item.module.__name__.rpartition(".")[2]
        item.add_marker(pytest.mark.xdist_group(FLEETS.get(name, name)))
        for failure in expected:
            if failure.covers(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"{failure.cause} ({failure.issue})", strict=True))


def pytest_terminal_summary(terminalreporter):
    for failure in known_red.load():
        terminalreporter.write_line(f"KNOWN RED: {failure.test}: {failure.cause} ({failure.issue})")
