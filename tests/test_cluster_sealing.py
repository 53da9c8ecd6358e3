"""Sealing of datagrams with a ring of keys."""

from __future__ import annotations

import pytest

from decklb.cluster.errors import WireError
from decklb.cluster.sealing import HEADER_BYTES, NONCE_BYTES, Sealer
from tests.cluster_builders import KEY, OTHER_KEY, SALT


def test_the_first_key_seals_and_any_key_opens():
    old = Sealer("c", [KEY], SALT)
    both = Sealer("c", [OTHER_KEY, KEY], bytes([2]) * 8)
    assert both.open(old.seal(b"x")) == b"x"
    with pytest.raises(WireError) as raised:
        old.open(both.seal(b"x"))
    assert raised.value.reason == "key"


def test_another_cluster_with_the_same_key_opens_nothing():
    with pytest.raises(WireError) as raised:
        Sealer("d", [KEY], SALT).open(Sealer("c", [KEY], SALT).seal(b"x"))
    assert raised.value.reason == "seal"


def test_no_nonce_is_used_twice():
    sealer = Sealer("c", [KEY], SALT)
    nonces = {sealer.seal(b"x")[HEADER_BYTES : HEADER_BYTES + NONCE_BYTES] for _ in range(1000)}
    assert len(nonces) == 1000
