"""The acceptor's state on disk."""

import pytest

from decklb.maintenance.errors import PlanStoreError
from decklb.maintenance.messages import encode_plan
from decklb.maintenance.operator_requests import add_job
from decklb.maintenance.paxos_messages import AcceptedValue, AcceptorState, Ballot
from decklb.maintenance.plan import Plan
from decklb.maintenance.store import PlanStore
from tests.maintenance_fleet import ENGINES


@pytest.fixture
def folder(tmp_path):
    return tmp_path / "m0"


@pytest.fixture
def open_store(folder):
    opened = []

    def open_as(member="m0", boot=None):
        store = PlanStore(str(folder), member)
        opened.append(store)
        store.boot_id = store.boot_id if boot is None else boot
        return store

    yield open_as
    for store in opened:
        store.close()


def test_state_is_read_back_only_by_the_same_member_in_the_same_boot(open_store):
    plan = add_job(Plan(), "j", ["a"], "", 5000, ENGINES, 50)
    state = AcceptorState(Ballot(4, "m1"), AcceptedValue(Ballot(3, "m0"), encode_plan(plan)))
    store = open_store()
    assert store.read() is None
    store.write(state)
    store.close()
    for member, boot, expected in (("m0", None, state), ("m1", None, None), ("m0", "b2", None), ("m0", "", None)):
        store = open_store(member, boot)  # None: the real boot id; "": the boot id is unknown
        assert store.read() == expected, (member, boot)
        store.close()


def test_a_folder_that_cannot_be_used_raises_a_typed_error(open_store, folder):
    folder.touch()
    with pytest.raises(PlanStoreError, match="m0"):
        open_store()
