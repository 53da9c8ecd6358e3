"""The parser of the list of known failures."""

from __future__ import annotations

import pytest

from tests import known_red


def test_a_line_matches_its_test_with_any_parameters():
    (failure,) = known_red.parse("tests/test_a.py::test_b | a cause | issue 1\n\n")
    assert failure == known_red.KnownFailure("tests/test_a.py::test_b", "a cause", "issue 1")
    assert failure.matches("tests/test_a.py::test_b[x-1]")
    assert not failure.matches("tests/test_a.py::test_bc")


@pytest.mark.parametrize("text", ["tests/test_a.py::test_b", "a | b | ", "a | b | c\n" * (known_red.MAX_FAILURES + 1)])
def test_a_malformed_or_too_long_list_is_rejected(text):
    with pytest.raises(ValueError, match="KNOWN-RED"):
        known_red.parse(text)
