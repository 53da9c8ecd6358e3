"""Which tests run side by side: each file in one worker, and those that start fleets of processes one after another."""

import pytest

FLEETS = {"test_handoff_program": "fleets-1", "test_handoff_store": "fleets-1", "test_upkeep": "fleets-2",
          "test_regions": "fleets-2", "test_middleware_fleet": "fleets-2", "test_rig_program": "fleets-2",
          "test_duties_program": "fleets-2", "test_live": "fleets-2"}


def pytest_collection_modifyitems(items):
    for item in items:
        name = item.module.__name__.rpartition(".")[2]
        item.add_marker(pytest.mark.xdist_group(FLEETS.get(name, name)))
