"""Distribution of tests over workers, and known failures.

All tests of a file run in the same worker. Files that start fleets of processes share two groups, and the files of a
group run one after another. Tests listed in KNOWN-RED.txt are expected to fail and are printed at the end of each run.
"""

import pytest

from tests import known_red
from tests.pg_program import running_pg_program

FLEET_GROUPS = {
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
    """The program in front of PostgreSQL engines; see `tests/pg_program.py`."""
    with running_pg_program() as program:
        yield program


def pytest_collection_modifyitems(items):
    known_failures = known_red.load()
    for item in items:
        name = item.module.__name__.rpartition(".")[2]
        item.add_marker(pytest.mark.xdist_group(FLEET_GROUPS.get(name, name)))
        for failure in known_failures:
            if failure.matches(item.nodeid):
                item.add_marker(pytest.mark.xfail(reason=f"{failure.cause} ({failure.issue})", strict=True))


def pytest_terminal_summary(terminalreporter):
    for failure in known_red.load():
        terminalreporter.write_line(f"KNOWN RED: {failure.test}: {failure.cause} ({failure.issue})")
