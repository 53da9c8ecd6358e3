"""Selection of the voters of keys."""

from decklb.handoff.placement import Placement


def test_member_leaving_changes_the_voters_of_only_those_keys_it_voted_on():
    placement = Placement(64)
    members = [f"m{i}" for i in range(12)]
    placement.set_members(members)
    keys = [f"key-{i}" for i in range(300)]
    before = {k: placement.voters(k, 3) for k in keys}
    placement.set_members(members[:-1])
    after = {k: placement.voters(k, 3) for k in keys}
    moved = [k for k in keys if before[k] != after[k]]
    assert moved
    assert all("m11" in before[k] for k in moved)
    assert all(len(v) == 3 for v in after.values())
