"""Compares the command line with recorded data: commands, options, defaults, help texts and outputs."""

from __future__ import annotations

import json
from unittest import mock

import click
import pytest
from click.testing import CliRunner

from decklb.cli import main
from tests.standins import ROOT
from tests.test_config_wire_format import FILES

GOLDEN = ROOT / "tests" / "golden"


def command_tree():
    """Return all commands and options as click describes them."""
    info = main.to_info_dict(click.Context(main, info_name="decklb"))
    return json.loads(json.dumps(info, default=str, sort_keys=True))


def check_output(path):
    """Return the exit code and the output lines of `decklb check` for a settings file."""
    result = CliRunner().invoke(main, ["check", "--settings", str(ROOT / path)])
    return [result.exit_code, *result.output.replace(str(ROOT), "<root>").splitlines()]


def test_commands_and_options_are_the_recorded_ones():
    assert command_tree() == json.loads((GOLDEN / "cli_commands.json").read_text())


@pytest.mark.parametrize("path", FILES)
def test_check_prints_the_recorded_lines(path):
    assert check_output(path) == json.loads((GOLDEN / "cli_check.json").read_text())[path]


# Answers of a process over its control socket, by query.
ANSWERS = {
    "members": {
        "members": [
            {
                "name": "m1",
                "self": True,
                "address": "h:1",
                "state": "alive",
                "settled": True,
                "weight": 1.5,
                "since_ms": 9,
            },
            {"name": "m-22", "self": False, "address": "h:2", "state": "left", "settled": False, "weight": 2.0}
            | {"since_ms": 61_000.0},
        ],
        "health": {"minority": True, "yielding": True},
    },
    "duties": [
        {"kind": "probe", "subject": "e1", "owner": "m1", "own": True, "term": 3, "down": False, "up": True}
        | {"age_ms": 1500.0, "passed": ["m2", "m3"]},
        {"kind": "probe", "subject": "e2", "owner": "", "own": False, "term": 0, "down": False, "up": None}
        | {"age_ms": None, "passed": []},
        {"kind": "probe", "subject": "e3", "owner": "m2", "own": False, "term": 1, "down": True, "up": False}
        | {"age_ms": 1.0, "passed": []},
    ],
    "handoff": {"records": 3, "links": 2, "counts": {"taken": 1, "given": 2}},
    "zones": {
        "zones": [
            {"zone": "z1", "home": True, "region": "r", "state": "in", "term": 2, "since_ms": 100.0, "up": 0.5}
            | {"load_cores": 7.25, "votes": {"m1": "in", "m2": "out"}},
            {"zone": "z2", "home": False, "region": "r", "state": "out", "term": 0, "since_ms": None, "up": 1.0}
            | {"load_cores": 0.0, "votes": {}},
        ],
        "near": 5,
        "away": 6,
        "members": 3,
        "quorum": 2,
        "unreached": ["m3"],
        "alone": True,
    },
    "plan": {
        "jobs": [
            {
                "job": "j1",
                "reason": "disks",
                "machines": [
                    {"machine": "e1", "zone": "z1", "stage": "waiting", "overdue": False, "since_ms": 5.0},
                    {"machine": "e2", "zone": "z2", "stage": "out", "overdue": True, "since_ms": 90_000.0},
                    {"machine": "e3", "zone": "z2", "stage": "done", "overdue": False, "since_ms": 1.0},
                ],
            }
        ],
        "hold": "zone z2 is out",
        "steps": 4,
        "driver": "m1",
        "remembers": False,
    },
    "plan-request": {},
    "plan-cancel": {},
    "plan-back": {},
}
COMMANDS = {
    "members": ["members"],
    "members as JSON": ["members", "--json"],
    "duties": ["duties"],
    "own duties": ["duties", "--own"],
    "handoff": ["handoff"],
    "zones": ["zones"],
    "status": ["maint", "status"],
    "status as JSON": ["maint", "status", "--json"],
    "plan": ["maint", "plan"],
    "request": ["maint", "request", "e1", "z*", "--job", "j1", "--window", "60", "--reason", "disks"],
    "cancel": ["maint", "cancel", "j1"],
    "back": ["maint", "back", "e1"],
}
COMMANDS_OF_ABSENT_SUBSYSTEMS = {
    "handoff off": ["handoff"],
    "zones off": ["zones"],
    "status off": ["maint", "status"],
    "plan off": ["maint", "plan"],
}


def run_with_answers(command, answers):
    """Run a command with the given answers; return its exit code, the queries that it sent and its output lines."""
    sent_queries = []

    def query(path, name, **arguments):
        sent_queries.append([path, name, arguments])
        return json.loads(json.dumps(answers.get(name, {})))

    with mock.patch("decklb.management.control_client.query", query):
        result = CliRunner().invoke(main, [*command, "--socket", "s"])
    return [result.exit_code, sent_queries, *result.output.splitlines()]


def run_all_commands():
    return {name: run_with_answers(command, ANSWERS) for name, command in COMMANDS.items()} | {
        name: run_with_answers(command, {}) for name, command in COMMANDS_OF_ABSENT_SUBSYSTEMS.items()
    }


def test_commands_about_a_running_process_print_the_recorded_lines():
    assert run_all_commands() == json.loads((GOLDEN / "cli_queries.json").read_text())


def test_commands_about_a_running_process_print_the_recorded_errors(tmp_path):
    (tmp_path / "s.xml").write_text('<decklb version="1"/>')
    outputs = [
        CliRunner().invoke(main, ["members", *options]).output.replace(str(tmp_path), "")
        for options in (
            ["--settings", str(tmp_path / "s.xml")],
            ["--settings", str(ROOT / "deploy/postgres.xml")],
            ["--socket", str(tmp_path / "none")],
        )
    ]
    assert outputs == json.loads((GOLDEN / "cli_query_errors.json").read_text())
