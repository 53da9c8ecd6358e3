"""The account of held memory over drawn sequences of changes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from decklb.core.memory_account import (
    MARKS,
    REQUEST_OVERHEAD_BYTES,
    ROUGH_BYTES,
    SMALL_MESSAGE_BYTES,
    HeldKind,
    MemoryAccount,
)

LIMIT = 1_000_000
SETS = st.lists(
    st.tuples(st.integers(0, 4), st.sampled_from(HeldKind), st.integers(0, LIMIT)),
    max_size=60,
)


@given(SETS, st.lists(st.integers(0, 300_000), max_size=20))
def test_the_sum_is_what_is_held_and_returns_to_zero(sets, requests):
    account = MemoryAccount(LIMIT)
    holders = [account.holder(str(number)) for number in range(5)]
    held = {}
    charges = [holders[size % 5].charge_request(size) for size in requests]
    charged = sum(size + REQUEST_OVERHEAD_BYTES for size in requests)
    for number, kind, amount in sets:
        if kind is not HeldKind.REQUEST:
            holders[number].set(kind, amount)
            held[number, kind] = amount
        assert account.total == sum(held.values()) + charged == sum(account.by_kind) >= 0
        assert account.peak >= account.total
    for number, kind in held:
        holders[number].set(kind, 0)
    for charge in charges:
        charge.release()
        charge.release()
    assert account.total == 0
    assert account.by_kind == [0] * len(HeldKind)
    assert account.largest(9) == []


def test_small_messages_are_admitted_where_large_ones_are_not():
    account = MemoryAccount(LIMIT)
    account.holder("a").set(HeldKind.PARTIAL_MESSAGE, account.large_limit_bytes)
    assert account.admits(SMALL_MESSAGE_BYTES, SMALL_MESSAGE_BYTES)
    assert account.admits(SMALL_MESSAGE_BYTES + 1)
    assert not account.admits(SMALL_MESSAGE_BYTES + 1, 1)
    assert not account.admits(1, LIMIT)


def test_a_holder_cannot_hold_less_than_nothing():
    holder = MemoryAccount(LIMIT).holder("a")
    holder.set(HeldKind.ENGINE, 5)
    with pytest.raises(ValueError):
        holder.change(HeldKind.ENGINE, -6)


@given(st.lists(st.integers(0, 2 * LIMIT), max_size=40))
def test_each_mark_is_reported_each_time_that_it_is_passed_upwards(amounts):
    account, reported, expected, before = MemoryAccount(LIMIT), [], [], 0
    account.on_mark = reported.append
    holder = account.holder("a")
    for amount in amounts:
        holder.set(HeldKind.PARTIAL_MESSAGE, amount)
        expected += [mark for mark in MARKS if before < mark * LIMIT <= amount]
        before = amount
    assert reported == expected


def test_the_largest_holders_come_first():
    account = MemoryAccount(LIMIT)
    for number in range(5):
        account.holder(str(number)).set(HeldKind.UNSENT_ANSWER, 10 * (number + 1))
    assert [holder.name for holder in account.largest(2)] == ["4", "3"]


@given(st.lists(st.integers(0, 20_000), max_size=50))
def test_roughly_set_amounts_are_never_above_what_is_held_and_at_most_a_little_below(amounts):
    account = MemoryAccount(LIMIT)
    holder = account.holder("a")
    for amount in [*amounts, 0]:
        holder.set_roughly(HeldKind.ENGINE, amount)
        assert amount - ROUGH_BYTES < account.total <= amount
    assert account.total == 0
