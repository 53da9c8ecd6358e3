"""The command line stays as recorded: commands, options, defaults, help texts, and what `check` prints."""

from __future__ import annotations

import json

import click
import pytest
from click.testing import CliRunner

from decklb.cli import main
from tests.standins import ROOT
from tests.test_config_wire_format import FILES

GOLDEN = ROOT / "tests" / "golden"


def described():
    """Every command and option, as click tells of them."""
    told = main.to_info_dict(click.Context(main, info_name="decklb"))
    return json.loads(json.dumps(told, default=str, sort_keys=True))


def checked(path):
    """What `decklb check` prints of a settings file."""
    result = CliRunner().invoke(main, ["check", "--settings", str(ROOT / path)])
    return [result.exit_code, *result.output.replace(str(ROOT), "<root>").splitlines()]


def test_commands_and_options_are_the_recorded_ones():
    assert described() == json.loads((GOLDEN / "cli_commands.json").read_text())


@pytest.mark.parametrize("path", FILES)
def test_check_prints_the_recorded_lines(path):
    assert checked(path) == json.loads((GOLDEN / "cli_check.json").read_text())[path]
