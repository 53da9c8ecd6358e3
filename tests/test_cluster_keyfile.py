"""The key file and the commands that create it and rotate its keys."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from decklb.cli import main
from decklb.cluster import keyfile
from decklb.cluster.errors import KeyFileError


@pytest.fixture
def path(tmp_path):
    return tmp_path / "k.json"


def run_keys(*arguments):
    return CliRunner().invoke(main, ["keys", *map(str, arguments)])


def secrets(path):
    return [key.secret for key in keyfile.read(str(path))]


def test_a_key_file_is_created_readable_by_its_owner_only_and_never_overwritten(path):
    assert run_keys("new", path).exit_code == 0
    assert path.stat().st_mode & 0o777 == 0o600
    assert run_keys("new", path).exit_code == 1


def test_a_rotation_adds_then_promotes_then_drops(path):
    run_keys("new", path)
    assert "nothing to promote" in run_keys("rotate", path, "--step", "promote").output
    [old] = secrets(path)
    run_keys("rotate", path, "--step", "add")
    assert [secret == old for secret in secrets(path)] == [True, False]
    run_keys("rotate", path, "--step", "promote")
    assert [secret == old for secret in secrets(path)] == [False, True]
    listed = run_keys("list", path).output
    assert "seals and opens" in listed.splitlines()[0]
    assert old.hex() not in listed
    run_keys("rotate", path, "--step", "drop")
    assert old not in secrets(path)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "not a valid key file"),
        ('{"version":2,"keys":[]}', "version 2"),
        ('{"version":1,"keys":[]}', "1 to 8"),
        ('{"version":1,"keys":[{"key":"!!","made":""}]}', "not a valid key file"),
        ('{"version":1,"keys":[{"key":"AAAA","made":""}]}', "32 bytes"),
    ],
    ids=["empty", "version", "no-keys", "not-base64", "short-key"],
)
def test_the_error_names_the_fault_of_an_invalid_file(path, text, message):
    path.write_text(text)
    path.chmod(0o600)
    with pytest.raises(KeyFileError, match=message):
        keyfile.read(str(path))


def test_a_file_that_other_users_can_read_is_rejected(path):
    run_keys("new", path)
    path.chmod(0o640)
    with pytest.raises(KeyFileError, match="chmod 0600"):
        keyfile.read(str(path))
